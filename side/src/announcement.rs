//! Announces to entries that the side is draining.

use crate::side::Side;
use almondwell_schema::Leaving;
use async_std::task;
use std::time::Duration;

const RESEND_INTERVAL: Duration = Duration::from_millis(100);
const MAX_ATTEMPTS: usize = 10;

/// Sends the announcement to each entry until it acknowledges, at most [`MAX_ATTEMPTS`] times.
pub(crate) async fn run(side: &Side) {
    let epoch = side.epoch;
    for _ in 0..MAX_ATTEMPTS {
        let unacknowledged = side.entries.unacknowledged();
        if unacknowledged.is_empty() {
            return;
        }
        for entry in unacknowledged {
            side.send(Leaving { epoch }.into(), entry).await;
        }
        task::sleep(RESEND_INTERVAL).await;
    }
}
