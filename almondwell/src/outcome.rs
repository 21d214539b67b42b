//! How a request ended, as its service level sees it.

/// How a request ended, as its service level sees it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Outcome {
    /// It was answered in full within its targets.
    Good,
    /// It broke off or its upstream failed.
    Failed,
    /// It was answered in full after a target.
    Late,
    /// Its caller left before any target had passed.
    Left,
    /// Its caller left after the target for the first token had passed.
    LeftLate,
    /// It was refused and not run.
    Refused,
}

impl Outcome {
    /// Name in metrics.
    pub(crate) const fn label(self) -> &'static str {
        match self {
            Self::Good => "good",
            Self::Failed => "failed",
            Self::Late => "late",
            Self::Left => "left",
            Self::LeftLate => "left-late",
            Self::Refused => "refused",
        }
    }

    /// Whether it counts for the service level, and on which side.
    pub(crate) const fn is_good(self) -> Option<bool> {
        match self {
            Self::Good => Some(true),
            Self::Left => None,
            Self::Failed | Self::Late | Self::LeftLate | Self::Refused => Some(false),
        }
    }
}
