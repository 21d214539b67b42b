//! Kinds of faults.

/// A fault that the run draws.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Kind {
    /// Cuts the link before a side.
    CutSide,
    /// Cuts the link before the platform.
    CutStore,
    /// Cuts the link before an upstream.
    CutUpstream,
    /// Delays the link before a side.
    DelaySide,
    /// Drops datagrams before a side.
    DropSide,
    /// Freezes the link before a side.
    FreezeSide,
    /// Freezes the link before an upstream.
    FreezeUpstream,
    /// Kills an entry, which is started again.
    KillEntry,
    /// Kills a side, which is started again.
    KillSide,
    /// Kills an upstream, which is started again.
    KillUpstream,
    /// Makes writes take effect late, their answers lost.
    LateWrites,
    /// Loses the answers of writes that took effect.
    LoseReplies,
    /// Two operators publish at once.
    RacePublish,
    /// Slows the platform.
    SlowStore,
    /// Stops an entry by signal for a while and lets it go on.
    StopEntry,
    /// Stops a side by signal for a while and lets it go on.
    StopSide,
    /// Stops an upstream by signal for a while and lets it go on.
    StopUpstream,
    /// The platform answers 503.
    StoreDown,
    /// Asks an entry to stop, and starts it again once it has.
    TermEntry,
    /// Asks a side to stop, and starts it again once it has.
    TermSide,
}

impl Kind {
    /// All kinds.
    pub const ALL: [Self; 20] = [
        Self::CutSide,
        Self::CutStore,
        Self::CutUpstream,
        Self::DelaySide,
        Self::DropSide,
        Self::FreezeSide,
        Self::FreezeUpstream,
        Self::KillEntry,
        Self::KillSide,
        Self::KillUpstream,
        Self::LateWrites,
        Self::LoseReplies,
        Self::RacePublish,
        Self::SlowStore,
        Self::StopEntry,
        Self::StopSide,
        Self::StopUpstream,
        Self::StoreDown,
        Self::TermEntry,
        Self::TermSide,
    ];
}
