//! Asynchronous work: requests with `Prefer: respond-async`, kept in the store until they have
//! ended.
//!
//! The store has work that has not ended under `work/open/ID`, the heartbeat of an entry that runs
//! work under `work/holder/NAME`, and the result of ended work under `work/done/ID`.

mod accept;
mod claim;
mod heartbeat;
mod look_up;
mod run;
mod scan;
mod state;
mod sweep;

pub(crate) use accept::{accept, is_async_requested};
pub(crate) use look_up::{PATH, look_up};
pub(crate) use scan::serve;
pub(crate) use state::State;

use almondwell_platform::{MAX_VALUE_BYTES, Mirror};
use almondwell_schema::{Version, WorkId};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::time::{Duration, SystemTime};

const HOLDER_PREFIX: &str = "work/holder";
const OPEN_PREFIX: &str = "work/open";
const DONE_PREFIX: &str = "work/done";

/// Time after acceptance from which work whose run fails is refused instead of retried.
const WORK_TIMEOUT: Duration = Duration::from_hours(24);
/// Maximum size of encoded work and of an encoded answer: the store's limit, less 4 KiB for the
/// fields that are stored with an answer.
const MAX_WORK_BYTES: usize = MAX_VALUE_BYTES - (4 << 10);

fn open_key(id: WorkId) -> String {
    format!("{OPEN_PREFIX}/{id:032x}")
}

fn done_key(id: WorkId) -> String {
    format!("{DONE_PREFIX}/{id:032x}")
}

fn holder_key(name: &str) -> String {
    format!("{HOLDER_PREFIX}/{name}")
}

/// Ids and versions of the objects in a mirror of [`OPEN_PREFIX`] or [`DONE_PREFIX`].
fn ids(mirror: &Mirror<Version>) -> impl Iterator<Item = (WorkId, Version)> {
    mirror.objects().iter().filter_map(|(name, version)| {
        let id = WorkId::from_str_radix(name, 16).ok()?;
        Some((id, *version))
    })
}

/// Wall-clock time since the Unix epoch, which entries share, unlike `entry.clock`.
fn wall_time() -> Duration {
    SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or_default()
}

fn encode(message: &impl Serialize) -> Vec<u8> {
    postcard::to_stdvec(message).unwrap_or_default()
}

fn decode<T: DeserializeOwned>(value: &[u8]) -> Option<T> {
    postcard::from_bytes(value).ok()
}
