//! The ledger: calls that may run at most once, kept in shards of the store.
//!
//! A shard is a ring of segments and one checkpoint. Each segment is written on the condition that
//! its slot still holds the segment one round older, so that of two holders only one wins a number.

mod book;
mod entry;
mod shard;
mod step;

pub use entry::{Call, Standing};
pub use shard::{Holder, Options, Shard};
pub use step::{Reply, Step};

pub(crate) use book::Book;
pub(crate) use entry::{Entry, Phase};

use crate::hash;
use almondwell_schema::CallKey;
use std::time::Duration;

/// Shards of one service's ledger.
pub const SHARDS: u16 = 16;
/// Least time that a key is remembered.
pub const REMEMBERED: Duration = Duration::from_mins(10);
/// Time after which a key is forgotten, also when there is room.
pub const FORGOTTEN: Duration = Duration::from_hours(24);
/// Longest body that is kept for repeats, in bytes.
pub const KEPT_BODY: usize = 4 << 10;

/// Key of a call of `workspace` to `service`.
pub fn call_key(service: &str, workspace: &str, key: &str) -> CallKey {
    CallKey::from_le_bytes(hash::bytes(&[service, workspace, key].map(str::as_bytes)))
}

/// Hash of what makes two calls with one key the same call.
pub fn digest(class: &str, path: &str, body: &[u8]) -> u64 {
    hash::number(&[class.as_bytes(), path.as_bytes(), body])
}

/// Shard that keeps `key`.
pub fn shard_of(key: CallKey) -> u16 {
    u16::try_from(key % CallKey::from(SHARDS)).unwrap_or(0)
}
