//! What became of a call.

use super::scenario::{END, WARM_UP};
use std::time::Duration;

/// How a call ended.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) enum End {
    Cancelled,
    Expired,
    Finished,
    #[default]
    Open,
    Refused,
}

/// What became of a call.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Record {
    pub(crate) end: End,
    pub(crate) finished: Duration,
    pub(crate) first_token: Option<Duration>,
    pub(crate) started: Option<Duration>,
}

impl Record {
    /// Place time within the counted part of the run.
    pub(crate) fn place_time(&self) -> Duration {
        let Some(started) = self.started else {
            return Duration::ZERO;
        };
        let from = started.max(WARM_UP);
        self.finished.min(END).saturating_sub(from)
    }
}
