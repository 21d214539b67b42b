//! Settings of a queue.

/// Sizes of a queue and the parts of its policy, each of which can be switched off to measure it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[allow(clippy::struct_excessive_bools)]
pub struct Settings {
    /// Refuses a reservation whose estimated wait exceeds its target.
    pub admission: bool,
    /// Reservations of a tier and those above it that may wait.
    pub backlog: usize,
    /// Serves workspaces and classes of a tier by weight rather than by arrival.
    pub fair: bool,
    /// Requests the upstream runs at once.
    pub places: usize,
    /// Serves tiers in order rather than by arrival.
    pub tiers: bool,
    /// Sets one place aside for the tiers below the highest.
    pub trickle: bool,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            admission: true,
            backlog: 4096,
            fair: true,
            places: 16,
            tiers: true,
            trickle: true,
        }
    }
}
