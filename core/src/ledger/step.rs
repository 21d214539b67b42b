//! Operations that a shard requests from the object store, and the replies.

use almondwell_schema::Version;
use std::time::Duration;

/// The next operation for a shard.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Step {
    /// Nothing to do until the shard gets another request.
    Idle,
    /// Read the segment at this index of the ring.
    ReadSegment(u16),
    /// Read the checkpoint.
    ReadCheckpoint,
    /// Nothing to do for this long, or until the shard gets another request.
    Wait(Duration),
    /// Write a segment at `index` if the object there has the version `expect`; `None` stands for no object.
    WriteSegment {
        /// Version that the object at `index` must have.
        expect: Option<Version>,
        /// Index in the ring.
        index: u16,
        /// Encoded segment.
        value: Vec<u8>,
    },
    /// Write the checkpoint if it has the version `expect`; `None` stands for no object.
    WriteCheckpoint {
        /// Version that the checkpoint must have.
        expect: Option<Version>,
        /// Encoded checkpoint.
        value: Vec<u8>,
    },
}

/// The store's reply to a step.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Reply {
    /// A read found no object.
    Absent,
    /// The condition of a write did not hold.
    Conflict,
    /// No usable answer came: a write may have taken effect, or may still do so later.
    Failed,
    /// A read found an object.
    Found {
        /// Content of the object.
        value: Vec<u8>,
        /// Version of the object.
        version: Version,
    },
    /// A write took effect; holds the new version of the object.
    Written(Version),
}
