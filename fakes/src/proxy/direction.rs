//! One direction of a proxy: its fault, counters and random generator.

use super::Fault;
use async_std::task;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Interval at which waiting traffic polls the fault.
const FAULT_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// One direction of a proxy.
pub(crate) struct Direction {
    bytes: AtomicU64,
    dropped: AtomicU64,
    state: Mutex<State>,
}

struct State {
    /// Time at which the bytes accepted so far have been sent at the limited bandwidth.
    busy_until: Instant,
    fault: Fault,
    random: StdRng,
}

impl Direction {
    pub(crate) fn new(seed: u64) -> Self {
        Self {
            bytes: AtomicU64::new(0),
            dropped: AtomicU64::new(0),
            state: Mutex::new(State {
                busy_until: Instant::now(),
                fault: Fault::default(),
                random: StdRng::seed_from_u64(seed),
            }),
        }
    }

    pub(crate) fn bytes(&self) -> u64 {
        self.bytes.load(Ordering::Relaxed)
    }

    pub(crate) fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }

    pub(crate) fn fault(&self) -> Fault {
        self.state().fault
    }

    pub(crate) fn set_fault(&self, fault: Fault) {
        self.state().fault = fault;
    }

    /// Counts forwarded bytes.
    pub(crate) fn count_forwarded(&self, length: usize) {
        self.bytes.fetch_add(length as u64, Ordering::Relaxed);
    }

    /// Draws whether to drop a datagram, and counts it if so.
    pub(crate) fn draw_drop(&self) -> bool {
        let mut state = self.state();
        let per_thousand = state.fault.drop;
        let is_dropped = state.fault.cut || state.random.random_range(0..1000) < per_thousand;
        self.dropped
            .fetch_add(u64::from(is_dropped), Ordering::Relaxed);
        is_dropped
    }

    /// Time at which `length` bytes that are read now arrive at the other end.
    pub(crate) fn arrival_time(&self, length: usize) -> Instant {
        let mut state = self.state();
        let fault = state.fault;
        let mut sent = Instant::now();
        if let Some(nanos) = (length as u64 * 1_000_000_000).checked_div(fault.bandwidth) {
            sent = sent.max(state.busy_until) + Duration::from_nanos(nanos);
            state.busy_until = sent;
        }
        let jitter = state.random.random_range(0..=fault.jitter_ms);
        sent + Duration::from_millis(fault.delay_ms + jitter)
    }

    /// Waits until `arrival_time` and until the direction is not frozen.
    pub(crate) async fn wait_until_delivery(&self, arrival_time: Instant) {
        task::sleep(arrival_time.saturating_duration_since(Instant::now())).await;
        while self.fault().freeze {
            task::sleep(FAULT_POLL_INTERVAL).await;
        }
    }

    /// Returns once the direction is cut.
    pub(crate) async fn wait_for_cut(&self) {
        while !self.fault().cut {
            task::sleep(FAULT_POLL_INTERVAL).await;
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
