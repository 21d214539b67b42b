//! Another writer puts entries of legal size, with a field of another type, into the list of engines.

use super::{MACHINE, Watch, deployment, is_fault};
use crate::record::Record;
use crate::router::{Router, Supervisor};
use std::io;
use std::path::Path;
use std::time::Duration;

/// Limit of the platform on an object, `value_bytes`.
const VALUE_BYTES: usize = 1_048_576;
/// Room for the metadata of an object.
const METADATA_BYTES: usize = 1_024;
/// Entries from the other writer.
const ENTRIES: usize = 3;
const OBSERVED: Duration = Duration::from_secs(15);

pub fn play(folder: &Path, has_trouble: bool) -> io::Result<bool> {
    let record = Record::create(folder)?;
    let (store, router) = deployment(MACHINE)?;
    let machines = [router, Router::start(store.address, MACHINE)?].map(Supervisor::start);
    let watch = Watch::start(&machines, OBSERVED);
    if has_trouble {
        let spec = entry();
        for index in 0..ENTRIES {
            store.put("servers", &format!("x-{index}"), &spec);
        }
        record.add(&format!("another writer has put {ENTRIES} entries of {} bytes into `servers`, whose `slots` is a list", spec.len()));
    }
    watch.finish(&record);
    Ok(is_fault(&machines, MACHINE, &record))
}

/// An entry whose `slots` is a list of small objects.
fn entry() -> String {
    let start = "{\"service\":\"pool\",\"address\":\"127.0.0.1:9\",\"zone\":\"gent-a\",\"version\":\"v1\",\"cold_remaining_ms\":0,\
                 \"sequence\":1,\"state\":\"ready\",\"slots\":[0";
    let item = ",{\"\":0}";
    let count = (VALUE_BYTES - METADATA_BYTES - start.len() - "]}".len()) / item.len();
    format!("{start}{}]}}", item.repeat(count))
}
