//! Result of a call.

use super::scenario::{ARRIVALS_END, WARM_UP};
use std::time::Duration;

/// How a call ended.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) enum End {
    /// The deadline passed while the call ran.
    Cancelled,
    /// The deadline passed before the call ran.
    Expired,
    Finished,
    /// The run stopped before the call ended.
    #[default]
    Open,
    Refused,
}

/// Result of a call.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Record {
    pub(crate) end: End,
    pub(crate) finished: Duration,
    pub(crate) first_token: Option<Duration>,
    pub(crate) started: Option<Duration>,
}

impl Record {
    /// Time for which the call held a slot within the measured part of the run.
    pub(crate) fn slot_time(&self) -> Duration {
        let Some(started) = self.started else {
            return Duration::ZERO;
        };
        let start = started.max(WARM_UP);
        self.finished.min(ARRIVALS_END).saturating_sub(start)
    }
}
