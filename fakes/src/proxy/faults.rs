//! Faults that a proxy injects.

use serde::Deserialize;

/// Faults on all traffic of one direction.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(default)]
pub struct Fault {
    /// Bandwidth over all connections in bytes per second; 0 for no limit.
    pub bandwidth: u64,
    /// Closes connections, accepts no new ones and drops datagrams.
    pub cut: bool,
    /// Closes each connection after this number of bytes; 0 for no limit.
    pub cut_after: u64,
    /// Delay in milliseconds.
    pub delay_ms: u64,
    /// Datagrams dropped per thousand.
    pub drop: u32,
    /// Forwards nothing and keeps connections open.
    pub freeze: bool,
    /// Maximum additional delay in milliseconds, drawn for each chunk or datagram.
    pub jitter_ms: u64,
}

impl Fault {
    /// Cuts the direction.
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

/// Faults of both directions, set by `POST /control`.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(default)]
pub struct Faults {
    /// From the target to clients; overrides `both`.
    pub backward: Option<Fault>,
    /// For each direction without faults of its own.
    #[serde(flatten)]
    pub both: Fault,
    /// From clients to the target; overrides `both`.
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
