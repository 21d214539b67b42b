//! Faults that a proxy makes.

use serde::Deserialize;

/// Faults on all traffic of one way.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(default)]
pub struct Fault {
    /// Limit in bytes a second over all connections; 0 for none.
    pub bandwidth: u64,
    /// Closes connections, accepts no more, and drops datagrams.
    pub cut: bool,
    /// Closes each connection after this number of bytes; 0 for never.
    pub cut_after: u64,
    /// Delay in milliseconds.
    pub delay_ms: u64,
    /// Datagrams dropped out of a thousand.
    pub drop: u32,
    /// Passes nothing on, and closes nothing.
    pub freeze: bool,
    /// Longest extra delay in milliseconds, drawn for each piece.
    pub jitter_ms: u64,
}

impl Fault {
    /// Cuts everything.
    pub const CUT: Self = Self {
        bandwidth: 0,
        cut: true,
        cut_after: 0,
        delay_ms: 0,
        drop: 0,
        freeze: false,
        jitter_ms: 0,
    };
}

/// Faults of both ways, `POST /control`.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(default)]
pub struct Faults {
    /// From the target to clients, in place of `both`.
    pub backward: Option<Fault>,
    /// Either way, unless it has its own.
    #[serde(flatten)]
    pub both: Fault,
    /// From clients to the target, in place of `both`.
    pub forward: Option<Fault>,
}

impl Faults {
    pub(crate) fn backward(&self) -> Fault {
        self.backward.unwrap_or(self.both)
    }

    pub(crate) fn forward(&self) -> Fault {
        self.forward.unwrap_or(self.both)
    }
}

impl From<Fault> for Faults {
    fn from(both: Fault) -> Self {
        Self {
            both,
            ..Self::default()
        }
    }
}
