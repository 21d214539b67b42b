//! The heartbeat from which other entries know that this one still runs its work.

use super::holder_key;
use super::state::Heartbeat;
use crate::entry::Entry;
use almondwell_core::stored::HEARTBEAT_INTERVAL;
use almondwell_platform::{Error, Expect, Written};
use async_std::task;

/// Renews the heartbeat periodically while this entry runs work.
pub(super) async fn run(entry: &Entry) {
    loop {
        task::sleep(HEARTBEAT_INTERVAL).await;
        if !entry.stored.is_idle() {
            // A failed renewal is repeated after the next interval.
            let _ = renew(entry).await;
        }
    }
}

/// Writes the heartbeat unless it was written recently; returns whether it is in the store.
pub(super) async fn renew(entry: &Entry) -> Result<bool, Error> {
    let mut last = entry.stored.heartbeat.lock().await;
    let now = entry.clock.now();
    let expect = match *last {
        Some(last) if now.saturating_sub(last.time) < HEARTBEAT_INTERVAL / 2 => return Ok(true),
        Some(last) => Expect::Version(last.version),
        None => Expect::Absent,
    };
    let key = holder_key(&entry.stored.name);
    match entry.objects.put(&key, &[], expect).await? {
        Written::Done(version) => {
            *last = Some(Heartbeat { time: now, version });
            Ok(true)
        }
        Written::Conflict => {
            // Either an entry that saw this one's lease expire removed the heartbeat, or an earlier
            // write took effect and its response was lost.
            let object = entry.objects.get(&key).await?;
            *last = object.map(|object| Heartbeat {
                time: now,
                version: object.version,
            });
            Ok(last.is_some())
        }
    }
}
