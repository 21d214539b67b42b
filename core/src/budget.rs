//! Retry budget: a token bucket filled by first attempts.

/// Tokens that each first attempt adds, in thousandths of a retry.
const MILLITOKENS_PER_ATTEMPT: u32 = 100;
/// Capacity of the bucket, in thousandths of a retry.
const MAX_MILLITOKENS: u32 = 10_000;
/// Tokens that one retry takes: thousandths of a retry.
const MILLITOKENS_PER_RETRY: u32 = 1000;

/// Limits the retries of a class to a fraction of its first attempts, plus a burst.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Budget {
    millitokens: u32,
}

impl Default for Budget {
    fn default() -> Self {
        Self {
            millitokens: MAX_MILLITOKENS,
        }
    }
}

impl Budget {
    /// Adds the tokens of one first attempt.
    pub fn earn(&mut self) {
        self.millitokens = (self.millitokens + MILLITOKENS_PER_ATTEMPT).min(MAX_MILLITOKENS);
    }

    /// Takes the tokens of one retry; `false` if the bucket holds too few.
    pub fn spend(&mut self) -> bool {
        if self.millitokens < MILLITOKENS_PER_RETRY {
            return false;
        }
        self.millitokens -= MILLITOKENS_PER_RETRY;
        true
    }
}
