//! The heartbeat that shows other entries that this one still runs its work.

use super::holder_key;
use super::state::Heartbeat;
use crate::entry::Entry;
use almondwell_core::stored::HEARTBEAT;
use almondwell_platform::{Error, Expect, Written};
use async_std::task;

/// Renews the heartbeat while work runs here.
pub(super) async fn beat(entry: &Entry) {
    loop {
        task::sleep(HEARTBEAT).await;
        if !entry.stored.is_idle() {
            // A heartbeat that is lost is made good by the next.
            let _ = renew(entry).await;
        }
    }
}

/// Writes a heartbeat unless a recent one stands; returns whether one stands.
pub(super) async fn renew(entry: &Entry) -> Result<bool, Error> {
    let mut last = entry.stored.heartbeat.lock().await;
    let now = entry.clock.now();
    let expect = match *last {
        Some(last) if now.saturating_sub(last.time) < HEARTBEAT / 2 => return Ok(true),
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
            // Removed by an entry that took this one for dead, or written with the reply lost.
            let found = entry.objects.get(&key).await?;
            *last = found.map(|object| Heartbeat {
                time: now,
                version: object.version,
            });
            Ok(last.is_some())
        }
    }
}
