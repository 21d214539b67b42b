//! Retry budget: a token bucket filled by first attempts.

/// Thousandths of a retry that each first attempt pays in.
const SHARE: u32 = 100;
/// Thousandths of a retry that the bucket holds at most.
const LIMIT: u32 = 10_000;
/// Thousandths that one retry takes.
const RETRY: u32 = 1000;

/// Bounds the retries of a class to a share of its first attempts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Budget {
    tokens: u32,
}

impl Default for Budget {
    fn default() -> Self {
        Self { tokens: LIMIT }
    }
}

impl Budget {
    /// Pays in for a first attempt.
    pub fn earn(&mut self) {
        self.tokens = (self.tokens + SHARE).min(LIMIT);
    }

    /// Takes a retry out; `false` when the budget is spent.
    pub fn spend(&mut self) -> bool {
        if self.tokens < RETRY {
            return false;
        }
        self.tokens -= RETRY;
        true
    }
}
