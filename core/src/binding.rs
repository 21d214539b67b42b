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
/// Time that an offer is kept while the side that holds the prefix has not answered.
const HOME_GRACE: Duration = Duration::from_millis(4);
/// Wait in the region from which a side in another region is worth its delay and bytes.
const SPILL_WAIT: Duration = Duration::from_millis(250);

/// What an entry does next with a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Step<S> {
    /// Asks these sides too.
    Ask(Vec<S>),
    /// Keeps the offer until the home side answers, at most this long.
    Hold(Duration),
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
    held: Option<(S, Ticket)>,
    home: Option<S>,
    prefix: u64,
    retry: Option<Duration>,
    round: u32,
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
            held: None,
            home: None,
            prefix,
            retry: None,
            round: 0,
            samples,
        }
    }

    /// Sides likely to hold a reservation once the sides last asked have answered.
    pub fn copies(&self) -> u8 {
        let copies = if self.round == 0 {
            self.asked.len()
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

    /// The first sides to ask: the home of the prefix and others at random.
    pub fn start(&mut self, random: &mut impl Rng, directory: &Directory<S>) -> Vec<S> {
        // A single sample has no second side to turn to when the home is slow.
        if self.samples > 1 {
            self.home = directory.home(self.prefix);
        }
        let home = self.home;
        let count = self.samples - usize::from(home.is_some());
        let mut sides = directory.near(random, count, |side| Some(side) != home);
        sides.extend(home);
        if sides.is_empty() {
            sides = directory.far(random, self.samples, |_| true);
        }
        self.ask(sides)
    }

    /// Notes an offer.
    pub fn granted(&mut self, side: S, ticket: Ticket) -> Step<S> {
        let is_home = self.home == Some(side);
        let home = self.home.and_then(|home| self.asked.get(&home));
        if is_home || home != Some(&State::Silent) {
            return Step::Run(side, ticket);
        }
        if self.held.is_some() {
            return Step::Wait;
        }
        self.held = Some((side, ticket));
        Step::Hold(HOME_GRACE)
    }

    /// Takes the offer kept for the home side's sake.
    pub fn take_held(&mut self) -> Step<S> {
        match self.held.take() {
            Some((side, ticket)) => Step::Run(side, ticket),
            None => Step::Wait,
        }
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
        if self.held.is_some() {
            return self.take_held();
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
        if self.held.is_some() {
            return self.take_held();
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
