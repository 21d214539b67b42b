//! Takes stored work over by a conditional write.

use super::{encode, heartbeat, open_key, run};
use crate::entry::Entry;
use almondwell_platform::{Expect, Written};
use almondwell_schema::{Version, Work, WorkId};
use async_std::task;
use std::sync::Arc;

/// Work that may be claimed.
pub(crate) struct Found {
    pub(crate) id: WorkId,
    pub(crate) version: Version,
    pub(crate) work: Work,
}

/// Claims `found` if a place is free, and runs it.
pub(super) async fn claim(entry: &Arc<Entry>, found: Found) {
    let limit = entry.settings.work_places;
    let Some(place) = entry.stored.take_place(found.id, limit) else {
        return;
    };
    if !matches!(heartbeat::renew(entry).await, Ok(true)) {
        return;
    }
    let work = Work {
        holder: Some(entry.stored.name.clone()),
        ..found.work
    };
    let key = open_key(found.id);
    let expect = Expect::Version(found.version);
    let written = entry.objects.put(&key, &encode(&work), expect).await;
    // A claim whose reply is lost is found by a later look.
    if let Ok(Written::Done(version)) = written {
        let claimed = Found {
            id: found.id,
            version,
            work,
        };
        let entry = entry.clone();
        task::spawn(async move {
            run::run(&entry, claimed).await;
            drop(place);
        });
    }
}
