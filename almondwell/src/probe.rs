//! Probes sides that do not answer.

use crate::entry::Entry;
use almondwell_schema::Probe;
use async_std::task;
use std::time::Duration;

const CHECK_PERIOD: Duration = Duration::from_millis(50);

/// Probes sides whose answer is overdue, until the process ends.
pub(crate) async fn run(entry: &Entry) {
    loop {
        task::sleep(CHECK_PERIOD).await;
        let version = entry.replica.version();
        for side in entry.members.check(entry.clock.now()) {
            entry.send(Probe { version }.into(), side).await;
        }
    }
}
