//! Assignment of generation requests to the engines of a service, by one entry that knows all requests there.
//!
//! Engines interleave chunks of prefill with the token generation of their running streams. A run of prefills
//! pauses every stream on its engine, so a stream stays within its target gap as long as the prefill that is
//! queued at its engine takes no longer than that gap, and completes as long as the queue leaves enough of its
//! time. An entry that sees only its own requests knows neither; the entry that assigns all of them does.

use crate::hash;
use crate::job::PartId;
use crate::placement::Distance;
use crate::precedence::Precedence;
use crate::table::Rank;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Identifier of one run of an engine.
pub type EngineId = u64;
/// Identifier of one send of a request, unique among all entries.
pub type Ticket = u64;

/// Parameters of the assignment.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Wait that one expected failure of another request is worth: a target gap that would be exceeded, or a
    /// deadline that would pass.
    pub harm: Duration,
    /// Wait that a late first token of the request itself is worth.
    pub lateness: Duration,
    /// Wait equivalent to one step of distance.
    pub distance_wait: Duration,
    /// Wait that keeping a request within its band is worth, rather than in the band of requests that tolerate
    /// longer pauses.
    pub looser_band: Duration,
    /// Wait that keeping a request out of the band of requests that tolerate only shorter pauses is worth.
    pub tighter_band: Duration,
    /// Recent failures from which an engine gets requests only if all others fail, too.
    pub failure_threshold: f64,
    /// Time in which the weight of a failure halves.
    pub failure_half_life: Duration,
    /// Time after its last use for which a prompt part is assumed to be in the engine's cache.
    pub part_ttl: Duration,
    /// Factor by which prefill of shared parts counts more than a wait: it evicts parts that others need.
    pub prefill_weight: f64,
    /// Share of a stream's tolerance that may be used, since prefill times are estimates.
    pub tolerance: f64,
    /// Wait that a stream on an engine whose slots are all taken is worth.
    pub crowding: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            harm: Duration::from_millis(1500),
            lateness: Duration::from_secs(1),
            distance_wait: Duration::from_millis(30),
            looser_band: Duration::from_millis(600),
            tighter_band: Duration::from_secs(2),
            failure_threshold: 1.5,
            failure_half_life: Duration::from_secs(1),
            part_ttl: Duration::from_secs(20),
            prefill_weight: 8.0,
            tolerance: 0.8,
            crowding: Duration::from_millis(500),
        }
    }
}

/// A request to assign.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Request {
    /// Time until its deadline.
    pub deadline: Duration,
    /// Longest tolerated pause between two events.
    pub gap: Duration,
    /// Whether it may be refused, as opposed to one that an engine may have run already.
    pub is_refusable: bool,
    /// Time for the output alone, on an engine that does nothing else.
    pub output: Duration,
    /// Prefill time of the prompt tokens that no other request shares.
    pub own: Duration,
    /// Prompt parts that other requests share, in order, with the prefill time of each.
    pub parts: Vec<(PartId, Duration)>,
    pub rank: Rank,
    /// Time until its first token is late.
    pub target: Duration,
}

/// Whose band an engine belongs to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Band {
    /// That of requests that tolerate longer pauses.
    Looser,
    /// That of the request.
    Own,
    /// That of requests that tolerate only shorter pauses.
    Tighter,
}

/// An engine that may take a request.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    pub band: Band,
    /// Network distance from the entry that sends the request.
    pub distance: Distance,
    pub id: EngineId,
    /// Maximum number of concurrent requests.
    pub slots: u32,
}

/// Result of an assignment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Assignment {
    Assigned {
        /// Whether the engine holds the shared prompt parts.
        has_parts: bool,
        id: EngineId,
        /// Expected wait before the prefill.
        wait: Duration,
    },
    /// No engine can take the request without a greater loss; holds the shortest wait.
    Overloaded(Duration),
    /// There is no candidate.
    None,
}

/// A request at an engine.
#[derive(Clone, Copy, Debug)]
struct Job {
    deadline: Duration,
    gap: Duration,
    has_started: bool,
    output: Duration,
    prefill: Duration,
    /// Expected end of its prefill.
    prefilled_at: Duration,
    rank: Rank,
    target: Duration,
}

#[derive(Clone, Debug, Default)]
struct Engine {
    /// Expected end of the prefills that are queued.
    busy_until: Duration,
    failures: f64,
    failures_at: Duration,
    jobs: BTreeMap<Ticket, Job>,
    /// Shared prompt parts in its cache, with the time of their last use.
    parts: BTreeMap<PartId, Duration>,
    /// Expected start and end of recent and queued prefills.
    prefills: VecDeque<(Duration, Duration)>,
    used_at: Duration,
}

/// What a request would cost at one engine.
#[derive(Clone, Copy, Debug)]
struct Cost {
    /// Loss of the request itself and of others that are not less urgent.
    loss: Duration,
    total: Duration,
    wait: Duration,
}

/// All requests at the engines of a service, as far as this entry has assigned them.
#[derive(Clone, Debug, Default)]
pub struct Scheduler {
    engines: BTreeMap<EngineId, Engine>,
    /// Mean time from the expected end of a prefill to the report of the first token, in seconds.
    lag: f64,
    options: Options,
    /// Recent refusals, by rank.
    precedence: Precedence,
    tickets: BTreeMap<Ticket, EngineId>,
}

/// Time for which prefills that have ended are remembered; no shorter than common target gaps.
const PREFILL_MEMORY: Duration = Duration::from_secs(2);
/// Steepness with which the likelihood of a too long pause grows with the prefill within a target gap.
const STRAIN_EXPONENT: i32 = 3;
/// Weight of a new sample in the mean lag.
const LAG_WEIGHT: f64 = 0.05;
/// Multiple of the mean lag from which a first token is overdue, so that its engine counts as slow.
const OVERDUE_FACTOR: f64 = 3.0;
/// Time after which an engine without requests is forgotten.
const IDLE_ENGINE_TTL: Duration = Duration::from_mins(1);

impl Scheduler {
    /// A scheduler that knows of no requests.
    pub fn new(options: Options) -> Self {
        Self {
            options,
            ..Self::default()
        }
    }

    /// Assigns `request` to one of the candidates.
    pub fn assign(
        &mut self,
        now: Duration,
        ticket: Ticket,
        request: &Request,
        candidates: &[Candidate],
    ) -> Assignment {
        self.expire(now);
        let options = self.options;
        for candidate in candidates {
            self.engines.entry(candidate.id).or_default();
        }
        let is_failing = |candidate: &Candidate| {
            self.engines[&candidate.id].failures(now, &options) >= options.failure_threshold
        };
        let all_fail = candidates.iter().all(is_failing);
        let overdue = Duration::from_secs_f64(self.lag * OVERDUE_FACTOR);
        // Another scheduler, which may know more, has the same home for the prefix.
        let home = request.parts.last().and_then(|(prefix, _)| {
            candidates
                .iter()
                .filter(|candidate| {
                    candidate.band == Band::Own && (all_fail || !is_failing(candidate))
                })
                .max_by_key(|candidate| {
                    hash::number(&[&prefix.to_le_bytes(), &candidate.id.to_le_bytes()])
                })
                .map(|candidate| candidate.id)
        });
        let best = candidates
            .iter()
            .filter(|candidate| all_fail || !is_failing(candidate))
            .map(|candidate| {
                let engine = &self.engines[&candidate.id];
                let is_home = home == Some(candidate.id);
                (
                    engine.cost(now, request, candidate, is_home, &options, overdue),
                    candidate.id,
                )
            })
            .min_by_key(|(cost, id)| (cost.total, *id));
        let Some((cost, id)) = best else {
            return Assignment::None;
        };
        let limit = self.precedence.limit(now, request.rank, request.deadline);
        if request.is_refusable && (cost.loss >= options.harm || cost.wait > limit) {
            self.precedence
                .record_refusal(now, request.rank, request.target);
            return Assignment::Overloaded(cost.wait);
        }
        let engine = self.engines.entry(id).or_default();
        let missing = engine.missing(now, request, &options);
        engine.push(now, ticket, request, missing);
        self.tickets.insert(ticket, id);
        Assignment::Assigned {
            has_parts: missing.is_zero(),
            id,
            wait: cost.wait,
        }
    }

    /// Records the first token of a request.
    pub fn start(&mut self, now: Duration, ticket: Ticket) {
        let engine = self.tickets.get(&ticket);
        if let Some(engine) = engine.and_then(|id| self.engines.get_mut(id))
            && let Some(lag) = engine.start(now, ticket)
        {
            self.lag += LAG_WEIGHT * (lag.as_secs_f64() - self.lag);
        }
    }

    /// Removes a request that has ended; `has_failed` tells whether its engine has failed.
    pub fn end(&mut self, now: Duration, ticket: Ticket, has_failed: bool) {
        let Some(id) = self.tickets.remove(&ticket) else {
            return;
        };
        let options = self.options;
        if let Some(engine) = self.engines.get_mut(&id) {
            engine.remove(now, ticket);
            if has_failed {
                engine.failures = engine.failures(now, &options) + 1.0;
                engine.failures_at = now;
            }
        }
    }

    /// Number of requests that have not ended.
    pub fn len(&self) -> usize {
        self.tickets.len()
    }

    /// Whether there are no requests.
    pub fn is_empty(&self) -> bool {
        self.tickets.is_empty()
    }

    /// Forgets requests past their deadline, whose end was not reported, and idle engines.
    fn expire(&mut self, now: Duration) {
        let tickets = &mut self.tickets;
        self.engines.retain(|_, engine| {
            engine.jobs.retain(|ticket, job| {
                let is_live = job.deadline > now;
                if !is_live {
                    tickets.remove(ticket);
                }
                is_live
            });
            !engine.jobs.is_empty() || now.saturating_sub(engine.used_at) < IDLE_ENGINE_TTL
        });
    }
}

impl Engine {
    fn failures(&self, now: Duration, options: &Options) -> f64 {
        let age = now.saturating_sub(self.failures_at).as_secs_f64();
        self.failures * (-age / options.failure_half_life.as_secs_f64()).exp2()
    }

    /// Prefill time of the shared parts that are not in the engine's cache. A part is of use only after all parts
    /// before it.
    fn missing(&self, now: Duration, request: &Request, options: &Options) -> Duration {
        let is_held = |part: &PartId| {
            let used_at = self.parts.get(part);
            used_at.is_some_and(|at| now.saturating_sub(*at) < options.part_ttl)
        };
        let missing = request.parts.iter().skip_while(|(part, _)| is_held(part));
        missing.map(|(_, prefill)| *prefill).sum()
    }

    /// Cost of the request at this engine, whose first tokens are overdue after `overdue`.
    fn cost(
        &self,
        now: Duration,
        request: &Request,
        candidate: &Candidate,
        is_home: bool,
        options: &Options,
        overdue: Duration,
    ) -> Cost {
        let shared = self.missing(now, request, options);
        let prefill = request.own + shared;
        let delay = self.delay(now).saturating_sub(overdue);
        let queue = self.busy_until.saturating_sub(now) + delay;
        // More urgent requests overtake less urgent ones in an engine's queue.
        let ahead: Duration = self
            .jobs
            .values()
            .filter(|job| job.rank <= request.rank && job.prefilled_at > now)
            .map(|job| job.prefill)
            .sum();
        let wait = queue.min(ahead) + delay;
        let first_token = wait + prefill;
        let (harm, urgent_harm) = self.harm(now, request, prefill, queue, options);
        let own_loss = if first_token + request.output > request.deadline {
            options.harm
        } else if first_token > request.target {
            options.lateness
        } else {
            Duration::ZERO
        };
        let band = match candidate.band {
            Band::Looser => options.looser_band,
            Band::Own => Duration::ZERO,
            Band::Tighter => options.tighter_band,
        };
        let steps = match candidate.distance {
            Distance::Zone => 0,
            Distance::Region => 1,
            Distance::Far => 2,
        };
        let streams = u32::try_from(self.jobs.len()).unwrap_or(u32::MAX);
        let crowding = options
            .crowding
            .mul_f64(f64::from(streams) / f64::from(candidate.slots.max(1)));
        let total = harm
            + own_loss
            + queue
            + request.own
            + shared.mul_f64(if is_home { 1.0 } else { options.prefill_weight })
            + band
            + crowding
            + options.distance_wait * steps;
        Cost {
            loss: urgent_harm + own_loss,
            total,
            wait,
        }
    }

    /// Loss of the requests at the engine if `prefill` were added to its `queue`: of all, and of those that are not
    /// less urgent.
    fn harm(
        &self,
        now: Duration,
        request: &Request,
        prefill: Duration,
        queue: Duration,
        options: &Options,
    ) -> (Duration, Duration) {
        let mut strains = BTreeMap::new();
        let mut likelihood = |job: &Job| {
            if job.is_overtaken(now, request.rank) {
                let is_late =
                    job.prefilled_at <= job.target && job.prefilled_at + prefill > job.target;
                return f64::from(u8::from(is_late));
            }
            let (before, after) = *strains.entry(job.gap).or_insert_with(|| {
                let strain = |queue| self.strain(now, job.gap, queue, options);
                (strain(queue), strain(queue + prefill))
            });
            let left = job.deadline.saturating_sub(now + job.output);
            let misses = queue <= left && queue + prefill > left;
            f64::from(u8::from(misses)).max(after - before)
        };
        let (mut all, mut urgent) = (0.0, 0.0);
        for job in self.jobs.values() {
            let harm = weight(request.rank, job.rank) * likelihood(job);
            all += harm;
            if job.rank <= request.rank {
                urgent += harm;
            }
        }
        (options.harm.mul_f64(all), options.harm.mul_f64(urgent))
    }

    /// Likelihood that a stream with `gap` pauses for longer because of `queue` and the prefills before it.
    fn strain(&self, now: Duration, gap: Duration, queue: Duration, options: &Options) -> f64 {
        let start = now.saturating_sub(gap.saturating_sub(queue));
        let past: Duration = self
            .prefills
            .iter()
            .map(|(from, to)| (*to).min(now).saturating_sub((*from).max(start)))
            .sum();
        let share = (past + queue).as_secs_f64() / gap.as_secs_f64().max(f64::EPSILON);
        (share / options.tolerance).powi(STRAIN_EXPONENT).min(1.0)
    }

    /// Longest time since the expected end of a prefill whose first token has not been reported.
    fn delay(&self, now: Duration) -> Duration {
        let waiting = self.jobs.values().filter(|job| !job.has_started);
        waiting
            .map(|job| now.saturating_sub(job.prefilled_at))
            .max()
            .unwrap_or_default()
    }

    /// Records the first token of a request; returns the time since the expected end of its prefill.
    fn start(&mut self, now: Duration, ticket: Ticket) -> Option<Duration> {
        let job = self.jobs.get_mut(&ticket)?;
        if job.has_started {
            return None;
        }
        job.has_started = true;
        let early = job.prefilled_at.saturating_sub(now);
        let lag = now.saturating_sub(job.prefilled_at);
        job.prefilled_at = job.prefilled_at.min(now);
        self.busy_until = self.busy_until.saturating_sub(early);
        Some(lag)
    }

    fn push(&mut self, now: Duration, ticket: Ticket, request: &Request, missing: Duration) {
        let prefill = request.own + missing;
        let start = self.busy_until.max(now);
        self.busy_until = start + prefill;
        self.prefills.push_back((start, self.busy_until));
        while let Some((_, end)) = self.prefills.front()
            && *end + PREFILL_MEMORY < now
        {
            self.prefills.pop_front();
        }
        self.used_at = now;
        for (part, _) in &request.parts {
            self.parts.insert(*part, now);
        }
        self.jobs.insert(
            ticket,
            Job {
                deadline: now + request.deadline,
                gap: request.gap,
                has_started: false,
                output: request.output,
                prefill,
                prefilled_at: self.busy_until,
                rank: request.rank,
                target: now + request.target,
            },
        );
    }

    fn remove(&mut self, now: Duration, ticket: Ticket) {
        let Some(job) = self.jobs.remove(&ticket) else {
            return;
        };
        // The prefill of a request that ends before its first token is dropped.
        let left = job.prefilled_at.saturating_sub(now).min(job.prefill);
        self.busy_until = self.busy_until.saturating_sub(left);
    }
}

impl Job {
    /// Whether a request of `rank` that arrives now is prefilled first.
    fn is_overtaken(&self, now: Duration, rank: Rank) -> bool {
        self.prefilled_at > now && rank < self.rank
    }
}

/// Weight of a loss of a request of rank `other` for one of rank `own`.
fn weight(own: Rank, other: Rank) -> f64 {
    match other.cmp(&own) {
        std::cmp::Ordering::Less => 2.0,
        std::cmp::Ordering::Equal => 1.0,
        std::cmp::Ordering::Greater => 0.5,
    }
}
