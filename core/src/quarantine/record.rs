//! Crashes that one request met.

use super::Treatment;
use almondwell_schema::{Crash, CrashId, Evidence, Fingerprint, Suspect};
use std::collections::BTreeMap;
use std::time::Duration;

/// Weight from which a request is refused: a crash beside others and one alone.
const REFUSED: u32 = 3;
/// Crashes that a record holds; enough to refuse whatever they are.
const CRASHES: usize = 8;

/// Crashes that one request met.
#[derive(Clone, Debug, Default)]
pub(super) struct Record {
    crashes: BTreeMap<CrashId, Evidence>,
    until: Duration,
}

impl Record {
    pub(super) const fn until(&self) -> Duration {
        self.until
    }

    pub(super) fn treatment(&self) -> Treatment {
        let weight: u32 = self.crashes.values().copied().map(weight).sum();
        match weight {
            0 => Treatment::Free,
            1..REFUSED => Treatment::Alone,
            REFUSED.. => Treatment::Refused,
        }
    }

    /// Clears the crashes beside others, unless the request is refused; returns whether there were any.
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

    pub(super) fn merge(&mut self, crashes: &[Crash], until: Duration) -> bool {
        let mut is_news = false;
        for crash in crashes {
            let known = self.crashes.get(&crash.id);
            if known.is_none_or(|known| crash.evidence < *known) {
                self.crashes.insert(crash.id, crash.evidence);
                is_news = true;
            }
        }
        while self.crashes.len() > CRASHES {
            self.crashes.pop_last();
        }
        self.until = self.until.max(until);
        is_news
    }

    pub(super) fn suspect(&self, now: Duration, fingerprint: Fingerprint) -> Option<Suspect> {
        let left = self.until.checked_sub(now).filter(|left| !left.is_zero())?;
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

const fn weight(evidence: Evidence) -> u32 {
    match evidence {
        Evidence::Alone => 2,
        Evidence::Cleared => 0,
        Evidence::Shared => 1,
    }
}
