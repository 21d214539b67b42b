//! Settings of a queue.

/// Sizes of a queue, and switches for the parts of its policy, so that the effect of each can be measured.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[allow(clippy::struct_excessive_bools)]
pub struct Settings {
    /// Refuses a reservation whose first token is estimated to miss its target, and serves overdue ones last.
    pub admission: bool,
    /// Maximum number of waiting reservations of a tier and the tiers above it.
    pub backlog: usize,
    /// Serves the workspaces and classes of a tier by weighted fair queueing instead of in order of arrival.
    pub fair: bool,
    /// Number of slots: the requests that the upstream runs at once.
    pub slots: usize,
    /// Serves higher tiers first instead of treating all reservations as one tier.
    pub tiers: bool,
    /// Sets one slot aside for the tiers below the highest. With too few slots for that, starved lower tiers
    /// get an occasional slot instead.
    pub low_tier_slot: bool,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            admission: true,
            backlog: 4096,
            fair: true,
            slots: 16,
            tiers: true,
            low_tier_slot: true,
        }
    }
}
