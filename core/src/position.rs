//! Positions in the changes of the store.
//!
//! A store that loses its last changes begins a new era, in which it gives out the revisions after the loss again. So
//! revisions are comparable only within an era.

/// Bits of a packed position that hold the revision: enough for a thousand changes a second for three decades.
const REVISION_BITS: u32 = 40;
const MAX_REVISION: u64 = (1 << REVISION_BITS) - 1;
const MAX_ERA: u64 = u64::MAX >> REVISION_BITS;

/// Position in the changes of the store, ordered by era first.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct Position {
    /// Number of the store's era; 0 for a store that names none.
    pub era: u64,
    /// Revision within the era.
    pub revision: u64,
}

impl Position {
    /// The position as one number with the same order. In era 0 it equals the revision, which is what earlier versions send
    /// and compare.
    pub fn pack(self) -> u64 {
        (self.era.min(MAX_ERA) << REVISION_BITS) | self.revision.min(MAX_REVISION)
    }

    /// The position that was packed as `number`.
    pub const fn unpack(number: u64) -> Self {
        Self {
            era: number >> REVISION_BITS,
            revision: number & MAX_REVISION,
        }
    }
}
