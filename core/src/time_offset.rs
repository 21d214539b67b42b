//! True time from a clock that never jumps and the wall clocks of all entries.
//!
//! The wall clock of a machine may jump by seconds. True time is the boot-time clock plus an offset, the median of the
//! offsets of this machine's wall clock and those that other entries name in their messages, so that jumps of a
//! minority change nothing.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Clocks, this machine's included, from which on their median replaces the offset in use: of two that differ, none is
/// known to be right.
const MIN_CLOCKS: usize = 3;
/// Time for which another entry's clock counts after its last message. It spans several rounds of gossip, in which an
/// entry hears from only a few others.
const EXPIRY: Duration = Duration::from_secs(20);
/// Time between two updates beyond which the process was frozen or short of processor time.
const MAX_PAUSE: Duration = Duration::from_secs(1);
/// Time after such a pause for which messages are not used: they may have waited in the socket, so that the times in
/// them are old.
const SETTLING: Duration = Duration::from_millis(500);
/// Time after the start of a process for which it waits for other entries' clocks: they answer its first message.
const DISCOVERY: Duration = Duration::from_secs(3);

/// Another entry's clock.
#[derive(Clone, Copy, Debug)]
struct Sample {
    offset: Duration,
    received_at: Duration,
}

/// Offset from the boot-time clock to true time, the time since the Unix epoch.
#[derive(Clone, Debug, Default)]
pub struct TimeOffset {
    offset: Option<Duration>,
    samples: BTreeMap<SocketAddr, Sample>,
    started_at: Option<Duration>,
    /// Boot time before which messages are not used.
    usable_from: Duration,
    updated_at: Option<Duration>,
}

impl TimeOffset {
    /// Records the wall-clock time that a message of the entry at `from` contains, received at boot time `now`.
    pub fn record(&mut self, now: Duration, from: SocketAddr, wall_time: Duration) {
        if self.has_paused(now) || now < self.usable_from {
            return;
        }
        let sample = Sample {
            offset: wall_time.saturating_sub(now),
            received_at: now,
        };
        self.samples.insert(from, sample);
    }

    /// Updates the offset at boot time `now`, when this machine's wall clock shows `wall_time`; returns it. To be
    /// called several times a second.
    pub fn update(&mut self, now: Duration, wall_time: Duration) -> Duration {
        if self.has_paused(now) {
            self.usable_from = now + SETTLING;
        }
        self.started_at.get_or_insert(now);
        self.updated_at = Some(now);
        self.samples
            .retain(|_, sample| now.saturating_sub(sample.received_at) < EXPIRY);
        let own = wall_time.saturating_sub(now);
        let others = self.samples.values().map(|sample| sample.offset);
        let mut offsets: Vec<_> = others.chain([own]).collect();
        let offset = match self.offset {
            Some(offset) if offsets.len() < MIN_CLOCKS => offset,
            None if offsets.len() < MIN_CLOCKS => own,
            _ => median(&mut offsets),
        };
        self.offset = Some(offset);
        offset
    }

    /// Whether the offset is the best that can be known: enough clocks are, or no more are to be expected. Before that,
    /// a machine whose wall clock has jumped would close windows that have not ended.
    pub fn is_settled(&self, now: Duration) -> bool {
        let is_known = self.samples.len() + 1 >= MIN_CLOCKS;
        let started_at = self.started_at.unwrap_or(now);
        is_known || now.saturating_sub(started_at) >= DISCOVERY
    }

    fn has_paused(&self, now: Duration) -> bool {
        let updated_at = self.updated_at;
        updated_at.is_some_and(|at| now.saturating_sub(at) > MAX_PAUSE)
    }
}

/// Median of a list that is not empty.
fn median(offsets: &mut [Duration]) -> Duration {
    offsets.sort_unstable();
    let middle = offsets.len() / 2;
    if offsets.len() % 2 == 1 {
        offsets[middle]
    } else {
        offsets[middle - 1].saturating_add(offsets[middle]) / 2
    }
}
