//! Per-service state of this entry: engine bands, prefill rates, wait limits and retry budgets.

use crate::router::milliseconds;
use almondwell_core::backlog::PrefillRate;
use almondwell_core::bands::{Bands, Work};
use almondwell_core::placement::Distance;
use almondwell_core::precedence::Precedence;
use almondwell_core::retries::{self, Retries};
use almondwell_core::table::Rank;
use almondwell_core::zone_share::{BaseTime, Times, ZoneShare};
use almondwell_schema::{RouterSettings, Share};
use std::collections::BTreeMap;
use std::ops::Range;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// One value of type `T` per service, by the service's name.
struct PerService<T>(Mutex<BTreeMap<Box<str>, T>>);

impl<T> Default for PerService<T> {
    fn default() -> Self {
        Self(Mutex::default())
    }
}

impl<T> PerService<T> {
    fn lock(&self) -> MutexGuard<'_, BTreeMap<Box<str>, T>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Calls `update` on the value of `service`, which `initial` creates if there is none.
    fn with<R>(
        &self,
        service: &str,
        initial: impl Fn() -> T,
        update: impl FnOnce(&mut T) -> R,
    ) -> R {
        let mut services = self.lock();
        if let Some(value) = services.get_mut(service) {
            return update(value);
        }
        update(services.entry(service.into()).or_insert_with(initial))
    }
}

/// Share of requests that leave the zone from which the log says so.
const SOME_SHARE: f64 = 0.05;

/// State of all services.
pub(crate) struct Services {
    /// Times of responses without a wait, by distance of the upstream.
    base_times: PerService<BTreeMap<Distance, BaseTime>>,
    /// Assignment of ranges of engines to groups of requests.
    bands: PerService<Bands>,
    /// Number of entries that share retry budgets and limits of upstreams, including this one.
    entries: AtomicUsize,
    /// Recent refusals under overload, by rank.
    precedence: PerService<Precedence>,
    /// Prefill rates of the engines.
    prefill_rates: PerService<PrefillRate>,
    retries: PerService<Retries>,
    retry_options: retries::Options,
    zone_shares: PerService<ZoneShare>,
}

impl Services {
    pub(crate) fn new(settings: &RouterSettings) -> Self {
        Self {
            base_times: PerService::default(),
            bands: PerService::default(),
            entries: AtomicUsize::new(settings.seeds.len() + 1),
            precedence: PerService::default(),
            prefill_rates: PerService::default(),
            retries: PerService::default(),
            retry_options: retries::Options {
                allowance: settings.retry_allowance.value(),
                ratio: settings.retry_ratio.value(),
                window: settings.retry_window,
                ..retries::Options::default()
            },
            zone_shares: PerService::default(),
        }
    }

    /// Records a request that tolerates pauses of `gap` between events, and its cost `work`; returns the range
    /// of the service's `count` engines that serves it.
    pub(crate) fn assign_band(
        &self,
        now: Duration,
        service: &str,
        gap: Duration,
        count: usize,
        work: Work,
    ) -> Range<usize> {
        let (before, after) = self.bands.with(service, Bands::default, |bands| {
            let before = bands.engine_range(gap, count);
            bands.record(now, gap, work);
            (before, bands.engine_range(gap, count))
        });
        if before != after {
            spdlog::info!("engine band changed", kv: {
                service, gap_ms = milliseconds(gap), count,
                before = format!("{before:?}"), after = format!("{after:?}")
            });
        }
        after
    }

    /// Work in tokens that this entry sent to engines, by service and gap.
    pub(crate) fn shares(&self, now: Duration) -> Vec<Share> {
        let mut shares = Vec::new();
        for (service, bands) in self.bands.lock().iter_mut() {
            shares.extend(bands.local_work(now).map(|(gap, work)| Share {
                service: service.clone(),
                gap,
                // Work is above 0 and far below 2^53.
                #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
                tokens: work as u64,
            }));
        }
        shares
    }

    /// Replaces the work that other entries sent to engines; each share comes with its age.
    pub(crate) fn set_peer_shares(&self, shares: &[(Duration, Share)]) {
        for (service, bands) in self.bands.lock().iter_mut() {
            let matching = shares.iter().filter(|(_, share)| share.service == *service);
            // Work is far below 2^53.
            #[allow(clippy::cast_precision_loss)]
            bands
                .set_peer_work(matching.map(|(age, share)| (share.gap, share.tokens as f64, *age)));
        }
    }

    /// Records that a request was refused under overload, and the `limit` of its wait.
    pub(crate) fn record_refusal(&self, now: Duration, service: &str, rank: Rank, limit: Duration) {
        self.precedence
            .with(service, Precedence::default, |precedence| {
                precedence.record_refusal(now, rank, limit);
            });
    }

    /// Longest wait of a request whose limit without overload is `base`. Recent refusals of more urgent requests
    /// lower it.
    pub(crate) fn wait_limit(
        &self,
        now: Duration,
        service: &str,
        rank: Rank,
        base: Duration,
    ) -> Duration {
        let services = self.precedence.lock();
        services
            .get(service)
            .map_or(base, |precedence| precedence.limit(now, rank, base))
    }

    /// Records a caller's request, which adds to the service's retry budget.
    pub(crate) fn record_request(&self, now: Duration, service: &str) {
        let initial = || Retries::new(self.retry_options);
        self.retries
            .with(service, initial, |retries| retries.record_request(now));
    }

    /// Takes a retry from the service's budget; `false` if none is left.
    pub(crate) fn take_retry(&self, now: Duration, service: &str) -> bool {
        let entries = self.entries();
        let mut services = self.retries.lock();
        // The clock starts with the process, so `now` is also its uptime.
        let uptime = now;
        services
            .get_mut(service)
            .is_some_and(|retries| retries.take(now, entries, uptime))
    }

    /// Tokens that an engine of a service prefills per millisecond.
    pub(crate) fn prefill_rate(&self, service: &str) -> f64 {
        let services = self.prefill_rates.lock();
        services
            .get(service)
            .copied()
            .unwrap_or_default()
            .tokens_per_ms()
    }

    /// Records that a request with `tokens` of prefill got its first token after `time`.
    pub(crate) fn record_prefill(&self, service: &str, time: Duration, tokens: u32) {
        self.prefill_rates
            .with(service, PrefillRate::default, |rate| {
                rate.observe(time, tokens);
            });
    }

    /// Records that an upstream at `distance` responded after `time`.
    pub(crate) fn record_response(&self, service: &str, distance: Distance, time: Duration) {
        self.base_times.with(service, BTreeMap::new, |times| {
            times
                .entry(distance)
                .and_modify(|base| base.observe(time))
                .or_insert_with(|| BaseTime::new(time));
        });
    }

    /// Time of a response without a wait from an upstream at `distance`, if known.
    pub(crate) fn base_time(&self, service: &str, distance: Distance) -> Option<Duration> {
        let services = self.base_times.lock();
        services
            .get(service)?
            .get(&distance)
            .map(|base| base.value())
    }

    /// Whether a request leaves the availability zone, by the random number `draw` below 1.
    pub(crate) fn leaves_zone(
        &self,
        now: Duration,
        service: &str,
        target: Duration,
        times: Times,
        draw: f64,
    ) -> bool {
        let (before, after, leaves) = self.zone_shares.with(service, ZoneShare::default, |share| {
            let before = share.share();
            let leaves = share.leaves(now, target, times, draw);
            (before, share.share(), leaves)
        });
        // Logs the ends of the range alone: the share changes several times a second.
        if (before < SOME_SHARE) != (after < SOME_SHARE) {
            spdlog::info!("share of requests that leave the zone changed", kv: {
                service, share = after, local_ms = times.local.map_or(0, milliseconds),
                remote_ms = times.remote.map_or(0, milliseconds)
            });
        }
        leaves
    }

    /// Number of entries that share budgets and limits, including this one.
    pub(crate) fn entries(&self) -> usize {
        self.entries.load(Ordering::Acquire)
    }

    /// Records the number of entries. Budgets and limits are divided by the highest number ever seen, since an
    /// unreachable entry may still be sending requests.
    pub(crate) fn record_entries(&self, entries: usize) {
        self.entries.fetch_max(entries, Ordering::AcqRel);
    }
}
