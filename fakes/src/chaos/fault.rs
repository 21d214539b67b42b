//! Kinds of injected faults.

/// Kind of an injected fault.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Kind {
    /// Cuts the link to a side.
    CutSide,
    /// Cuts the link to the platform.
    CutStore,
    /// Cuts the link to an upstream.
    CutUpstream,
    /// Delays and throttles the link to a side.
    DelaySide,
    /// Drops datagrams on the link to a side.
    DropSide,
    /// Freezes the link to a side.
    FreezeSide,
    /// Freezes the link to an upstream.
    FreezeUpstream,
    /// Kills an entry and restarts it later.
    KillEntry,
    /// Kills a side and restarts it later.
    KillSide,
    /// Kills an upstream and restarts it later.
    KillUpstream,
    /// Writes to the store take effect late, and their responses are lost.
    LateWrites,
    /// Writes to the store take effect, but their responses are lost.
    LoseReplies,
    /// Publishes two configurations concurrently.
    RacePublish,
    /// Delays the responses of the platform.
    SlowStore,
    /// Pauses an entry with SIGSTOP and resumes it later.
    StopEntry,
    /// Pauses a side with SIGSTOP and resumes it later.
    StopSide,
    /// Pauses an upstream with SIGSTOP and resumes it later.
    StopUpstream,
    /// The platform answers 503.
    StoreDown,
    /// Sends SIGTERM to an entry and restarts it once it has ended.
    TermEntry,
    /// Sends SIGTERM to a side and restarts it once it has ended.
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
