//! Claims stored work by a conditional write.

use super::{encode, heartbeat, open_key, run};
use crate::entry::Entry;
use almondwell_platform::{Expect, Written};
use almondwell_schema::{Version, Work, WorkId};
use async_std::task;
use std::sync::Arc;

/// Stored work, with its id and the version of its object.
pub(crate) struct Item {
    pub(crate) id: WorkId,
    pub(crate) version: Version,
    pub(crate) work: Work,
}

/// Claims `item` if a slot is free, and runs it in a new task.
pub(super) async fn claim(entry: &Arc<Entry>, item: Item) {
    let limit = entry.settings.work_places;
    let Some(slot) = entry.stored.acquire_slot(item.id, limit) else {
        return;
    };
    if !matches!(heartbeat::renew(entry).await, Ok(true)) {
        return;
    }
    let work = Work {
        holder: Some(entry.stored.name.clone()),
        ..item.work
    };
    let key = open_key(item.id);
    let expect = Expect::Version(item.version);
    let written = entry.objects.put(&key, &encode(&work), expect).await;
    // If the response to the write was lost, a later scan finds the work under this entry's name
    // and claims it again.
    if let Ok(Written::Done(version)) = written {
        let claimed = Item {
            id: item.id,
            version,
            work,
        };
        let entry = entry.clone();
        task::spawn(async move {
            run::run(&entry, claimed).await;
            drop(slot);
        });
    }
}
