//! Notices silent sides.

use crate::entry::Entry;
use almondwell_schema::Probe;
use async_std::task;
use std::time::Duration;

const PERIOD: Duration = Duration::from_millis(50);

/// Checks for silent sides and probes them until the process ends.
pub(crate) async fn run(entry: &Entry) {
    loop {
        task::sleep(PERIOD).await;
        let version = entry.replica.version();
        for side in entry.members.check(entry.clock.now()) {
            entry.send(Probe { version }.into(), side).await;
        }
    }
}
