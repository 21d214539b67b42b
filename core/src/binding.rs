//! Late binding of one request: which sides are asked and which offer is taken.

use crate::directory::Directory;
use crate::spill::Spill;
use almondwell_schema::Ticket;
use rand::Rng;
use std::collections::BTreeMap;
use std::time::Duration;

/// Times more sides that each further round asks.
const WIDENING: usize = 3;
/// Sides that are likely to accept when the first ones refused.
const WIDENED_COPIES: usize = 2;
/// Wait in the region from which a side in another region is worth its delay and bytes.
const SPILL_WAIT: Duration = Duration::from_millis(250);

/// What an entry does next with a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Step<S> {
    /// Asks these sides too.
    Ask(Vec<S>),
    /// Tells the caller to come back after this time; all sides refused.
    Refuse(Duration),
    /// Runs the request at this side and withdraws it from the others.
    Run(S, Ticket),
    /// Waits for the next answer.
    Wait,
}

/// Where one request holds reservations.
#[derive(Clone, Debug)]
pub struct Binding<S> {
    asked: BTreeMap<S, State>,
    /// Bytes that the request and its answer put on the link between regions.
    bytes: u32,
    has_spilled: bool,
    /// Whether the whole sample has been asked.
    is_sampled: bool,
    prefix: u64,
    retry: Option<Duration>,
    round: u32,
    /// Sides of the region that the first round asks in the end.
    sample: usize,
    samples: usize,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum State {
    Queued(Duration),
    Refused,
    Silent,
}

impl<S: Copy + Ord> Binding<S> {
    /// A request with `prefix` that asks `samples` sides at first.
    pub fn new(samples: usize, prefix: u64, bytes: u32) -> Self {
        Self {
            asked: BTreeMap::new(),
            bytes,
            has_spilled: false,
            is_sampled: samples <= 1,
            prefix,
            retry: None,
            round: 0,
            sample: 0,
            samples,
        }
    }

    /// Sides likely to hold a reservation once the sides last asked have answered.
    pub fn copies(&self) -> u8 {
        // The first side asked counts the others too: it queues only if they are asked as well.
        let copies = if self.round == 0 {
            self.asked.len().max(self.sample)
        } else {
            WIDENED_COPIES
        };
        u8::try_from(copies).unwrap_or(u8::MAX)
    }

    /// Sides that may hold a reservation.
    pub fn open(&self) -> impl Iterator<Item = S> {
        self.asked
            .iter()
            .filter(|(_, state)| **state != State::Refused)
            .map(|(side, _)| *side)
    }

    /// The first side to ask, or sides of other regions where the own one has none: the home of the
    /// prefix or one at random. The others of the sample are asked if it has no place free.
    pub fn start(&mut self, random: &mut impl Rng, directory: &Directory<S>) -> Vec<S> {
        // A single sample has no second side to turn to when the home is slow.
        let home = directory.home(self.prefix).filter(|_| self.samples > 1);
        self.sample = self.samples.min(directory.near_len());
        let mut sides: Vec<_> = home.into_iter().collect();
        if sides.is_empty() {
            sides = directory.near(random, 1, |_| true);
        }
        if sides.is_empty() {
            self.is_sampled = true;
            sides = directory.far(random, self.samples, |_| true);
        }
        self.ask(sides)
    }

    /// The others of the sample, once the first side has no place free.
    fn ask_rest(&mut self, random: &mut impl Rng, directory: &Directory<S>) -> Option<Step<S>> {
        if self.is_sampled {
            return None;
        }
        self.is_sampled = true;
        let count = self.samples.saturating_sub(1);
        let asked = &self.asked;
        let sides = directory.near(random, count, |side| !asked.contains_key(&side));
        (!sides.is_empty()).then(|| Step::Ask(self.ask(sides)))
    }

    /// Notes that a reservation waits at `side` for about `wait`.
    pub fn queued(
        &mut self,
        now: Duration,
        side: S,
        wait: Duration,
        random: &mut impl Rng,
        directory: &Directory<S>,
        spill: &mut Spill,
    ) -> Step<S> {
        self.asked.insert(side, State::Queued(wait));
        if let Some(step) = self.ask_rest(random, directory) {
            return step;
        }
        if self.least_wait().is_none_or(|wait| wait < SPILL_WAIT) {
            return Step::Wait;
        }
        let far = self.far(now, random, directory, spill);
        if far.is_empty() {
            Step::Wait
        } else {
            Step::Ask(far)
        }
    }

    /// Notes that `side` refused and proposes `retry`.
    pub fn refused(
        &mut self,
        now: Duration,
        side: S,
        retry: Duration,
        random: &mut impl Rng,
        directory: &Directory<S>,
        spill: &mut Spill,
    ) -> Step<S> {
        self.asked.insert(side, State::Refused);
        self.retry = Some(self.retry.map_or(retry, |least| least.min(retry)));
        if let Some(step) = self.ask_rest(random, directory) {
            return step;
        }
        if self.open().next().is_some() {
            return Step::Wait;
        }
        self.widen(now, random, directory, spill)
    }

    /// Notes that `side` refused where no further sides shall be asked.
    pub fn forget(&mut self, side: S) {
        self.asked.insert(side, State::Refused);
    }

    /// Asks further sides.
    pub fn widen(
        &mut self,
        now: Duration,
        random: &mut impl Rng,
        directory: &Directory<S>,
        spill: &mut Spill,
    ) -> Step<S> {
        self.round += 1;
        let count = self
            .samples
            .saturating_mul(WIDENING.saturating_pow(self.round));
        let asked = &self.asked;
        let mut sides = directory.near(random, count, |side| !asked.contains_key(&side));
        if sides.is_empty() {
            sides = self.far(now, random, directory, spill);
        }
        if sides.is_empty() {
            return Step::Refuse(self.retry.unwrap_or_default());
        }
        Step::Ask(self.ask(sides))
    }

    /// Sides to ask again, and others in place of those that are silent, gone or refused.
    pub fn renew(&mut self, random: &mut impl Rng, directory: &Directory<S>) -> Vec<S> {
        self.round = 0;
        self.is_sampled = true;
        self.asked
            .retain(|side, state| matches!(state, State::Queued(_)) && directory.contains(*side));
        let queued: Vec<_> = self.asked.keys().copied().collect();
        let missing = self.samples.saturating_sub(queued.len());
        let asked = &self.asked;
        let mut sides = directory.near(random, missing, |side| !asked.contains_key(&side));
        if sides.is_empty() && queued.is_empty() {
            sides = directory.far(random, missing, |_| true);
        }
        self.ask(sides).into_iter().chain(queued).collect()
    }

    /// The least wait once all asked sides have answered.
    fn least_wait(&self) -> Option<Duration> {
        let mut least = None;
        for state in self.asked.values() {
            match state {
                State::Queued(wait) => {
                    least = Some(least.map_or(*wait, |least| (*wait).min(least)));
                }
                State::Refused => {}
                State::Silent => return None,
            }
        }
        least
    }

    fn far(
        &mut self,
        now: Duration,
        random: &mut impl Rng,
        directory: &Directory<S>,
        spill: &mut Spill,
    ) -> Vec<S> {
        if self.has_spilled {
            return Vec::new();
        }
        let asked = &self.asked;
        let sides = directory.far(random, self.samples, |side| !asked.contains_key(&side));
        if sides.is_empty() || !spill.spend(now, self.bytes) {
            return Vec::new();
        }
        self.has_spilled = true;
        self.ask(sides)
    }

    fn ask(&mut self, sides: Vec<S>) -> Vec<S> {
        for side in &sides {
            self.asked.insert(*side, State::Silent);
        }
        sides
    }
}
