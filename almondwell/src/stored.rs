//! Work that is accepted with `Prefer: respond-async`, kept in the store until it has ended.
//!
//! `work/open/ID` holds work that has not ended, `work/holder/NAME` the heartbeat of an entry that
//! runs some, and `work/done/ID` the result.

mod accept;
mod claim;
mod heartbeat;
mod look_up;
mod pickup;
mod run;
mod state;
mod sweep;

pub(crate) use accept::{accept, is_asked};
pub(crate) use look_up::{PATH, look_up};
pub(crate) use pickup::serve;
pub(crate) use state::State;

use almondwell_platform::{MAX_VALUE, Mirror};
use almondwell_schema::{Version, WorkId};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::time::{Duration, SystemTime};

const HOLDER: &str = "work/holder";
const OPEN: &str = "work/open";
const DONE: &str = "work/done";

/// Time after which work that could not be run is refused.
const WORK_TIMEOUT: Duration = Duration::from_hours(24);
/// Longest value, less what surrounds an answer.
const MAX_WORK: usize = MAX_VALUE - (4 << 10);

fn open_key(id: WorkId) -> String {
    format!("{OPEN}/{id:032x}")
}

fn done_key(id: WorkId) -> String {
    format!("{DONE}/{id:032x}")
}

fn holder_key(name: &str) -> String {
    format!("{HOLDER}/{name}")
}

/// Ids and versions of what a mirror of `OPEN` or `DONE` shows.
fn ids(mirror: &Mirror<Version>) -> impl Iterator<Item = (WorkId, Version)> {
    mirror.images().iter().filter_map(|(name, version)| {
        let id = WorkId::from_str_radix(name, 16).ok()?;
        Some((id, *version))
    })
}

/// Time since the Unix epoch.
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
