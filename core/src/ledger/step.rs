//! What a shard asks of the store, and what it is told.

use almondwell_schema::Version;
use std::time::Duration;

/// The next thing to do for a shard.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Step {
    /// Nothing until the shard is asked for something.
    Idle,
    /// Read the segment in a slot of the ring.
    ReadSegment(u16),
    /// Read the checkpoint.
    ReadCheckpoint,
    /// Nothing for this long, or until the shard is asked for something.
    Wait(Duration),
    /// Write a segment to `slot` if it has the version `expect`; `None` stands for no object.
    WriteSegment {
        /// Version that the slot must have.
        expect: Option<Version>,
        /// Slot of the ring.
        slot: u16,
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

/// How the store answered a step.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Reply {
    /// A read found no object.
    Absent,
    /// The condition of a write did not hold.
    Conflict,
    /// No answer came, or none that can be used: a write may take effect now or later.
    Failed,
    /// A read found an object.
    Found {
        /// Its bytes.
        value: Vec<u8>,
        /// Its version.
        version: Version,
    },
    /// A write took effect; holds the new version.
    Written(Version),
}
