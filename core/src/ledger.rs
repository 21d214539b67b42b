//! The ledger: a durable record of calls that may run at most once, kept in shards in the object store.
//!
//! A shard is a log in a ring of segment objects, plus one checkpoint. Each segment is written on the
//! condition that the object at its index still holds the segment of the previous round, so that if two
//! holders write the same segment number, only one succeeds.

mod entry;
mod shard;
mod step;
mod table;

pub use entry::{Call, Status};
pub use shard::{Holder, Options, Shard};
pub use step::{Reply, Step};

pub(crate) use entry::{Entry, Phase};
pub(crate) use table::Table;

use crate::hash;
use almondwell_schema::CallKey;
use std::time::Duration;

/// Number of shards of one service's ledger.
pub const SHARDS: u16 = 16;
/// Minimum time that a key is remembered, also when the shard is full.
pub const MIN_RETENTION: Duration = Duration::from_mins(10);
/// Time after which a key is forgotten, also when the shard has room.
pub const MAX_RETENTION: Duration = Duration::from_hours(24);
/// Maximum size of an answer that is kept for repeats, in bytes of body and headers.
pub const MAX_KEPT_ANSWER_BYTES: usize = 4 << 10;

/// Hash of the idempotency key `key` of a call of `workspace` to `service`.
pub fn call_key(service: &str, workspace: &str, key: &str) -> CallKey {
    CallKey::from_le_bytes(hash::bytes(&[service, workspace, key].map(str::as_bytes)))
}

/// Hash of the fields that must be equal for two calls with one key to count as the same call.
pub fn digest(class: &str, path: &str, body: &[u8]) -> u64 {
    hash::number(&[class.as_bytes(), path.as_bytes(), body])
}

/// Number of the shard that keeps `key`.
pub fn shard_of(key: CallKey) -> u16 {
    u16::try_from(key % CallKey::from(SHARDS)).unwrap_or(0)
}
