//! Crashes of upstreams that ran one request.

use super::Treatment;
use almondwell_schema::{Crash, CrashId, Evidence, Fingerprint, Suspect};
use std::collections::BTreeMap;
use std::time::Duration;

/// Total weight from which a request is refused: one crash beside others plus one alone.
const MIN_REFUSAL_WEIGHT: u32 = 3;
/// Maximum number of crashes per record; enough to refuse the request if none of them is cleared.
const MAX_CRASHES: usize = 8;

/// Crashes of upstreams that ran one request.
#[derive(Clone, Debug, Default)]
pub(super) struct Record {
    crashes: BTreeMap<CrashId, Evidence>,
    expires_at: Duration,
}

impl Record {
    pub(super) const fn expires_at(&self) -> Duration {
        self.expires_at
    }

    pub(super) fn treatment(&self) -> Treatment {
        let weight: u32 = self.crashes.values().copied().map(weight).sum();
        match weight {
            0 => Treatment::Free,
            1..MIN_REFUSAL_WEIGHT => Treatment::Alone,
            MIN_REFUSAL_WEIGHT.. => Treatment::Refused,
        }
    }

    /// Clears the crashes that happened beside other requests, unless the request is refused; returns whether any was cleared.
    pub(super) fn clear(&mut self) -> bool {
        if self.treatment() == Treatment::Refused {
            return false;
        }
        let mut is_changed = false;
        for evidence in self.crashes.values_mut() {
            if *evidence == Evidence::Shared {
                *evidence = Evidence::Cleared;
                is_changed = true;
            }
        }
        is_changed
    }

    pub(super) fn merge(&mut self, crashes: &[Crash], expires_at: Duration) -> bool {
        let mut is_changed = false;
        for crash in crashes {
            let known = self.crashes.get(&crash.id);
            if known.is_none_or(|known| crash.evidence < *known) {
                self.crashes.insert(crash.id, crash.evidence);
                is_changed = true;
            }
        }
        while self.crashes.len() > MAX_CRASHES {
            self.crashes.pop_last();
        }
        self.expires_at = self.expires_at.max(expires_at);
        is_changed
    }

    pub(super) fn suspect(&self, now: Duration, fingerprint: Fingerprint) -> Option<Suspect> {
        let left = self
            .expires_at
            .checked_sub(now)
            .filter(|left| !left.is_zero())?;
        let crashes = self
            .crashes
            .iter()
            .map(|(id, evidence)| Crash {
                id: *id,
                evidence: *evidence,
            })
            .collect();
        Some(Suspect {
            fingerprint,
            crashes,
            left,
        })
    }
}

/// Weight of one crash in the decision how the request may run.
const fn weight(evidence: Evidence) -> u32 {
    match evidence {
        Evidence::Alone => 2,
        Evidence::Cleared => 0,
        Evidence::Shared => 1,
    }
}
