//! Tells entries that the side is leaving.

use crate::side::Side;
use almondwell_schema::Leaving;
use async_std::task;
use std::time::Duration;

const PERIOD: Duration = Duration::from_millis(100);
const ATTEMPTS: usize = 10;

/// Repeats the message until each entry has acknowledged it, or up to a limit.
pub(crate) async fn run(side: &Side) {
    let epoch = side.epoch;
    for _ in 0..ATTEMPTS {
        let untold = side.entries.untold();
        if untold.is_empty() {
            return;
        }
        for entry in untold {
            side.send(Leaving { epoch }.into(), entry).await;
        }
        task::sleep(PERIOD).await;
    }
}
