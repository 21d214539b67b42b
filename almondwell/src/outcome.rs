//! How a request ended, for metrics and the service level.

/// How a request ended, for metrics and the service level.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Outcome {
    /// Answered completely and within its latency targets.
    Good,
    /// The upstream failed or the answer was cut off.
    Failed,
    /// Answered completely, but a latency target was missed.
    Late,
    /// The caller disconnected before any latency target was missed.
    Cancelled,
    /// The caller disconnected after the target for the first token had passed.
    CancelledLate,
    /// Refused without being run.
    Refused,
}

impl Outcome {
    /// Label value in metrics.
    pub(crate) const fn label(self) -> &'static str {
        match self {
            Self::Good => "good",
            Self::Failed => "failed",
            Self::Late => "late",
            Self::Cancelled => "left",
            Self::CancelledLate => "left-late",
            Self::Refused => "refused",
        }
    }

    /// Whether it counts as good or bad for the service level; `None` if it does not count.
    pub(crate) const fn is_good(self) -> Option<bool> {
        match self {
            Self::Good => Some(true),
            Self::Cancelled => None,
            Self::Failed | Self::Late | Self::CancelledLate | Self::Refused => Some(false),
        }
    }
}
