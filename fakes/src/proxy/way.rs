//! One way of a proxy: its faults, counts and random draws.

use super::Fault;
use async_std::task;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Period at which faults are looked at.
const FAULT_PERIOD: Duration = Duration::from_millis(5);

/// One way of a proxy.
pub(crate) struct Way {
    bytes: AtomicU64,
    dropped: AtomicU64,
    state: Mutex<State>,
}

struct State {
    /// When the bandwidth has been used up by what is on its way.
    busy_until: Instant,
    fault: Fault,
    random: StdRng,
}

impl Way {
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

    pub(crate) fn set(&self, fault: Fault) {
        self.state().fault = fault;
    }

    /// Counts bytes that were passed on.
    pub(crate) fn count(&self, length: usize) {
        self.bytes.fetch_add(length as u64, Ordering::Relaxed);
    }

    /// Draws whether a datagram is dropped, and counts it if so.
    pub(crate) fn draw_drop(&self) -> bool {
        let mut state = self.state();
        let share = state.fault.drop;
        let is_dropped = state.fault.cut || state.random.random_range(0..1000) < share;
        self.dropped
            .fetch_add(u64::from(is_dropped), Ordering::Relaxed);
        is_dropped
    }

    /// When `length` bytes that are read now arrive.
    pub(crate) fn due(&self, length: usize) -> Instant {
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

    /// Waits until `due` and until nothing is frozen.
    pub(crate) async fn pass(&self, due: Instant) {
        task::sleep(due.saturating_duration_since(Instant::now())).await;
        while self.fault().freeze {
            task::sleep(FAULT_PERIOD).await;
        }
    }

    /// Returns once the way is cut.
    pub(crate) async fn cut(&self) {
        while !self.fault().cut {
            task::sleep(FAULT_PERIOD).await;
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
