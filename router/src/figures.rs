//! What this entry has learned of each service's requests and engines.

use crate::router::milliseconds;
use almondwell_core::backlog::Rate;
use almondwell_core::bands::{Bands, Work};
use almondwell_core::precedence::Precedence;
use almondwell_core::retries::{self, Retries};
use almondwell_core::table::Rank;
use almondwell_schema::{RouterSettings, Share};
use std::collections::BTreeMap;
use std::ops::Range;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// One figure of each service.
struct Services<T>(Mutex<BTreeMap<Box<str>, T>>);

impl<T> Default for Services<T> {
    fn default() -> Self {
        Self(Mutex::default())
    }
}

impl<T> Services<T> {
    fn lock(&self) -> MutexGuard<'_, BTreeMap<Box<str>, T>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Works on the figure of `service`, which `first` makes when there is none yet.
    fn with<R>(&self, service: &str, first: impl Fn() -> T, work: impl FnOnce(&mut T) -> R) -> R {
        let mut services = self.lock();
        if let Some(figure) = services.get_mut(service) {
            return work(figure);
        }
        work(services.entry(service.into()).or_insert_with(first))
    }
}

/// Figures by service.
pub(crate) struct Figures {
    /// Division of the engines.
    bands: Services<Bands>,
    /// Entries that share the retry bounds, this one included.
    entries: AtomicUsize,
    /// Refusals for want of room.
    precedence: Services<Precedence>,
    /// Rate at which engines read prompts.
    rates: Services<Rate>,
    retries: Services<Retries>,
    retry_options: retries::Options,
}

impl Figures {
    pub(crate) fn new(settings: &RouterSettings) -> Self {
        Self {
            bands: Services::default(),
            entries: AtomicUsize::new(settings.seeds.len() + 1),
            precedence: Services::default(),
            rates: Services::default(),
            retries: Services::default(),
            retry_options: retries::Options {
                allowance: settings.retry_allowance.value(),
                ratio: settings.retry_ratio.value(),
                window: settings.retry_window,
                ..retries::Options::default()
            },
        }
    }

    /// Notes work for an engine of a service; returns which of its `count` engines it is for.
    pub(crate) fn band(
        &self,
        now: Duration,
        service: &str,
        gap: Duration,
        count: usize,
        work: Work,
    ) -> Range<usize> {
        let (before, after) = self.bands.with(service, Bands::default, |bands| {
            let before = bands.members(gap, count);
            bands.note(now, gap, work);
            (before, bands.members(gap, count))
        });
        if before != after {
            spdlog::info!("band moved", kv: {
                service, gap_ms = milliseconds(gap), count,
                before = format!("{before:?}"), after = format!("{after:?}")
            });
        }
        after
    }

    /// Work that this entry sent to engines.
    pub(crate) fn shares(&self, now: Duration) -> Vec<Share> {
        let mut shares = Vec::new();
        for (service, bands) in self.bands.lock().iter_mut() {
            shares.extend(bands.own(now).map(|(gap, work)| Share {
                service: service.clone(),
                gap,
                // A figure of work is above 0 and far below 2^53.
                #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
                tokens: work as u64,
            }));
        }
        shares
    }

    /// Takes in the work that other entries sent to engines, with the age of their figures.
    pub(crate) fn learn(&self, others: &[(Duration, Share)]) {
        for (service, bands) in self.bands.lock().iter_mut() {
            let own = others.iter().filter(|(_, share)| share.service == *service);
            // Figures of work are far below 2^53.
            #[allow(clippy::cast_precision_loss)]
            bands.learn(own.map(|(age, share)| (share.gap, share.tokens as f64, *age)));
        }
    }

    /// Notes that a request to a service was refused for want of room, and the wait that it bore.
    pub(crate) fn refused(&self, now: Duration, service: &str, rank: Rank, limit: Duration) {
        self.precedence
            .with(service, Precedence::default, |precedence| {
                precedence.refused(now, rank, limit);
            });
    }

    /// Longest wait of a request to a service that by itself bears `own`.
    pub(crate) fn limit(
        &self,
        now: Duration,
        service: &str,
        rank: Rank,
        own: Duration,
    ) -> Duration {
        let services = self.precedence.lock();
        services
            .get(service)
            .map_or(own, |precedence| precedence.limit(now, rank, own))
    }

    /// Notes a caller's request to a service.
    pub(crate) fn requested(&self, now: Duration, service: &str) {
        let first = || Retries::new(self.retry_options);
        self.retries
            .with(service, first, |retries| retries.request(now));
    }

    /// Takes a retry of a request to a service, if one is left.
    pub(crate) fn take_retry(&self, now: Duration, service: &str) -> bool {
        let entries = self.entries.load(Ordering::Acquire);
        let mut services = self.retries.lock();
        services
            .get_mut(service)
            .is_some_and(|retries| retries.take(now, entries, now))
    }

    /// Tokens that an engine of a service reads in a millisecond.
    pub(crate) fn rate(&self, service: &str) -> f64 {
        let services = self.rates.lock();
        services.get(service).copied().unwrap_or_default().tokens()
    }

    /// Notes that a request to a service began after `time`, with so many tokens to be read.
    pub(crate) fn read(&self, service: &str, time: Duration, tokens: u32) {
        self.rates
            .with(service, Rate::default, |rate| rate.observe(time, tokens));
    }

    /// Notes how many entries there are; the most that were ever seen share the retries, since one that
    /// is out of sight may still send.
    pub(crate) fn set_entries(&self, entries: usize) {
        self.entries.fetch_max(entries, Ordering::AcqRel);
    }
}
