//! Work that is accepted with `Prefer: respond-async`, kept in the object API until it has ended.
//!
//! `work/live/open/ID` holds work that has not ended, `work/live/holder/NAME` the heartbeat of an
//! entry that runs some, and `work/done/ID` the result.

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

use almondwell_schema::WorkId;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::time::{Duration, SystemTime};

/// Prefix of what an entry lists to find work.
const LIVE: &str = "work/live/";
const HOLDER: &str = "work/live/holder/";
const OPEN: &str = "work/live/open/";
const DONE: &str = "work/done/";

/// Time after which work that could not be run is refused.
const WORK_TIMEOUT: Duration = Duration::from_hours(24);
/// Longest value of the object API, less what surrounds an answer.
const MAX_WORK: usize = (1 << 20) - (4 << 10);

fn open_key(id: WorkId) -> String {
    format!("{OPEN}{id:032x}")
}

fn done_key(id: WorkId) -> String {
    format!("{DONE}{id:032x}")
}

/// The id at the end of `key`, after `prefix`.
fn id_of(key: &str, prefix: &str) -> Option<WorkId> {
    WorkId::from_str_radix(key.strip_prefix(prefix)?, 16).ok()
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
