//! Choice of the client that gives way when memory or connections are short.

use std::collections::BTreeMap;
use std::time::Duration;

/// Time in which received bytes lose half of their weight. Losses on a link delay bytes by about 200 ms, so that a client
/// which keeps sending has a share above [`STALLED_SHARE`].
const HALF_LIFE: Duration = Duration::from_millis(500);
/// Share of recently received bytes below which an unfinished request makes no progress.
const STALLED_SHARE: f64 = 0.5;
/// Time after which a connection without a request is idle. The first request of a new connection arrives after a round trip
/// between regions, 24 ms, or the retransmission of a lost packet, 200 ms.
const MIN_IDLE_TIME: Duration = Duration::from_millis(500);

/// Bytes received lately from one client.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Progress {
    bytes: f64,
    updated_at: Duration,
}

impl Progress {
    /// Records that `bytes` arrived.
    pub fn record(&mut self, now: Duration, bytes: usize) {
        self.bytes = self.recent(now) + to_float(bytes);
        self.updated_at = now;
    }

    /// Recently received bytes as a share of the `held` ones, at most 1.
    pub fn share(&self, now: Duration, held: usize) -> f64 {
        (self.recent(now) / to_float(held.max(1))).min(1.0)
    }

    fn recent(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.updated_at).as_secs_f64();
        self.bytes * (-age / HALF_LIFE.as_secs_f64()).exp2()
    }
}

// A client holds far less than 2^53 bytes.
#[allow(clippy::cast_precision_loss)]
const fn to_float(bytes: usize) -> f64 {
    bytes as f64
}

/// What a client does that may give way.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Activity {
    /// It has had no request since this time.
    Idle(Duration),
    /// Its request is incomplete.
    Receiving(Progress),
}

/// A client that may give way; one whose request has been forwarded never does.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate<A, I> {
    /// What it does.
    pub activity: Activity,
    /// Its network address.
    pub address: A,
    /// Bytes that it makes the process hold.
    pub held: usize,
    /// Its identifier.
    pub id: I,
}

/// The unfinished request that has made the least progress for the bytes it holds, if that is less than half of `share`, the
/// share of the client that needs memory. Requests with similar progress do not displace each other, so that some finish.
pub fn stalled<A, I>(
    now: Duration,
    share: f64,
    candidates: impl Iterator<Item = Candidate<A, I>>,
) -> Option<I> {
    candidates
        .filter(|candidate| candidate.held > 0)
        .filter_map(|candidate| match candidate.activity {
            Activity::Idle(_) => None,
            Activity::Receiving(progress) => {
                Some((progress.share(now, candidate.held), candidate.id))
            }
        })
        .filter(|(other, _)| *other < STALLED_SHARE * share)
        .min_by(|(left, _), (right, _)| left.total_cmp(right))
        .map(|(_, id)| id)
}

/// The client whose connection is closed for a new one: one that is idle before one whose request makes no progress, then of
/// the address with most of these, then the one that has been so for longest.
pub fn closable<A, I>(now: Duration, candidates: impl Iterator<Item = Candidate<A, I>>) -> Option<I>
where
    A: Copy + Ord,
{
    let mut closable = Vec::new();
    let mut by_address = BTreeMap::<_, usize>::new();
    for candidate in candidates {
        let (is_idle, weight) = match candidate.activity {
            Activity::Idle(since) => {
                let time = now.saturating_sub(since);
                if time < MIN_IDLE_TIME {
                    continue;
                }
                (true, time.as_secs_f64())
            }
            Activity::Receiving(progress) => {
                let share = progress.share(now, candidate.held);
                if share >= STALLED_SHARE {
                    continue;
                }
                (false, 1.0 - share)
            }
        };
        *by_address.entry(candidate.address).or_default() += 1;
        closable.push((is_idle, candidate.address, weight, candidate.id));
    }
    closable
        .into_iter()
        .map(|(is_idle, address, weight, id)| (is_idle, by_address[&address], weight, id))
        .max_by(|left, right| {
            (left.0, left.1)
                .cmp(&(right.0, right.1))
                .then(left.2.total_cmp(&right.2))
        })
        .map(|(.., id)| id)
}
