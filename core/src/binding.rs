//! Late binding of one request: which sides get a reservation, and which offer is accepted.

use crate::directory::Directory;
use crate::link_budget::LinkBudget;
use almondwell_schema::Ticket;
use rand::Rng;
use std::collections::BTreeMap;
use std::time::Duration;

/// Factor by which each further round asks more sides.
const WIDENING_FACTOR: usize = 3;
/// Estimated number of sides that accept after those of the first round refused.
const WIDENED_COPIES: usize = 2;
/// Minimum wait in the region at which a side in another region is worth the latency and bytes.
const MIN_REMOTE_WAIT: Duration = Duration::from_millis(250);

/// Next action of an entry for a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Step<S> {
    /// Send reservations to these sides too.
    Ask(Vec<S>),
    /// Refuse the request, since all sides refused; the caller may retry after this time.
    Refuse(Duration),
    /// Run the request at this side and withdraw the reservations at the others.
    Run(S, Ticket),
    /// Wait for the next answer.
    Wait,
}

/// Reservations of one request.
#[derive(Clone, Debug)]
pub struct Binding<S> {
    asked: BTreeMap<S, State>,
    /// Bytes that the request and its answer send between regions.
    bytes: u32,
    /// Whether sides of other regions were asked at the expense of the link budget.
    has_used_link: bool,
    /// Whether the whole sample has been asked.
    has_asked_sample: bool,
    prefix: u64,
    retry_after: Option<Duration>,
    round: u32,
    /// Number of sides in the region that the first round asks in total.
    first_round_len: usize,
    /// Number of sides that the first round may ask.
    samples: usize,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum State {
    Queued(Duration),
    Refused,
    Unanswered,
}

impl<S: Copy + Ord> Binding<S> {
    /// Creates the state of a request with `prefix` (0 for none) that asks `samples` sides in the first
    /// round, and sends `bytes` bytes between regions if it runs in another one.
    pub fn new(samples: usize, prefix: u64, bytes: u32) -> Self {
        Self {
            asked: BTreeMap::new(),
            bytes,
            has_used_link: false,
            has_asked_sample: samples <= 1,
            prefix,
            retry_after: None,
            round: 0,
            first_round_len: 0,
            samples,
        }
    }

    /// Estimated number of sides that hold a reservation once the sides asked last have answered.
    pub fn copies(&self) -> u8 {
        // The others of the sample count too: the first side queues only if they are asked as well.
        let copies = if self.round == 0 {
            self.asked.len().max(self.first_round_len)
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

    /// The sides to ask first: the home of the prefix, else a random side of the region, else sides of
    /// other regions. The rest of the sample is asked only if that side has no free slot.
    pub fn start(&mut self, random: &mut impl Rng, directory: &Directory<S>) -> Vec<S> {
        // With a sample of one there is no alternative when the home is slow.
        let home = directory.home(self.prefix).filter(|_| self.samples > 1);
        self.first_round_len = self.samples.min(directory.local_len());
        let mut sides: Vec<_> = home.into_iter().collect();
        if sides.is_empty() {
            sides = directory.local(random, 1, |_| true);
        }
        if sides.is_empty() {
            self.has_asked_sample = true;
            sides = directory.remote(random, self.samples, |_| true);
        }
        self.ask(sides)
    }

    /// Asks the rest of the sample, once the first side has no free slot.
    fn ask_rest(&mut self, random: &mut impl Rng, directory: &Directory<S>) -> Option<Step<S>> {
        if self.has_asked_sample {
            return None;
        }
        self.has_asked_sample = true;
        let count = self.samples.saturating_sub(1);
        let asked = &self.asked;
        let sides = directory.local(random, count, |side| !asked.contains_key(&side));
        (!sides.is_empty()).then(|| Step::Ask(self.ask(sides)))
    }

    /// Records that a reservation is queued at `side` with an estimated wait of `wait`.
    pub fn queued(
        &mut self,
        now: Duration,
        side: S,
        wait: Duration,
        random: &mut impl Rng,
        directory: &Directory<S>,
        link_budget: &mut LinkBudget,
    ) -> Step<S> {
        self.asked.insert(side, State::Queued(wait));
        if let Some(step) = self.ask_rest(random, directory) {
            return step;
        }
        if self.min_wait().is_none_or(|wait| wait < MIN_REMOTE_WAIT) {
            return Step::Wait;
        }
        let remote = self.ask_remote(now, random, directory, link_budget);
        if remote.is_empty() {
            Step::Wait
        } else {
            Step::Ask(remote)
        }
    }

    /// Records that `side` refused and suggests a retry after `retry_after`.
    pub fn refused(
        &mut self,
        now: Duration,
        side: S,
        retry_after: Duration,
        random: &mut impl Rng,
        directory: &Directory<S>,
        link_budget: &mut LinkBudget,
    ) -> Step<S> {
        self.asked.insert(side, State::Refused);
        self.retry_after = Some(
            self.retry_after
                .map_or(retry_after, |minimum| minimum.min(retry_after)),
        );
        if let Some(step) = self.ask_rest(random, directory) {
            return step;
        }
        if self.open().next().is_some() {
            return Step::Wait;
        }
        self.widen(now, random, directory, link_budget)
    }

    /// Records that `side` refused, without asking further sides.
    pub fn mark_refused(&mut self, side: S) {
        self.asked.insert(side, State::Refused);
    }

    /// Asks further sides: untried ones in the region, then ones in other regions. Refuses the request if
    /// there are none.
    pub fn widen(
        &mut self,
        now: Duration,
        random: &mut impl Rng,
        directory: &Directory<S>,
        link_budget: &mut LinkBudget,
    ) -> Step<S> {
        self.round += 1;
        let count = self
            .samples
            .saturating_mul(WIDENING_FACTOR.saturating_pow(self.round));
        let asked = &self.asked;
        let mut sides = directory.local(random, count, |side| !asked.contains_key(&side));
        if sides.is_empty() {
            sides = self.ask_remote(now, random, directory, link_budget);
        }
        if sides.is_empty() {
            return Step::Refuse(self.retry_after.unwrap_or_default());
        }
        Step::Ask(self.ask(sides))
    }

    /// Sides to ask again: those where the request is queued, and others in place of sides that have not
    /// answered, have left the directory or refused.
    pub fn renew(&mut self, random: &mut impl Rng, directory: &Directory<S>) -> Vec<S> {
        self.round = 0;
        self.has_asked_sample = true;
        self.asked
            .retain(|side, state| matches!(state, State::Queued(_)) && directory.contains(*side));
        let queued: Vec<_> = self.asked.keys().copied().collect();
        let missing = self.samples.saturating_sub(queued.len());
        let asked = &self.asked;
        let mut sides = directory.local(random, missing, |side| !asked.contains_key(&side));
        if sides.is_empty() && queued.is_empty() {
            sides = directory.remote(random, missing, |_| true);
        }
        self.ask(sides).into_iter().chain(queued).collect()
    }

    /// Minimum wait over the queued reservations; `None` until all asked sides have answered.
    fn min_wait(&self) -> Option<Duration> {
        let mut minimum = None;
        for state in self.asked.values() {
            match state {
                State::Queued(wait) => {
                    minimum = Some(minimum.map_or(*wait, |minimum| (*wait).min(minimum)));
                }
                State::Refused => {}
                State::Unanswered => return None,
            }
        }
        minimum
    }

    fn ask_remote(
        &mut self,
        now: Duration,
        random: &mut impl Rng,
        directory: &Directory<S>,
        link_budget: &mut LinkBudget,
    ) -> Vec<S> {
        if self.has_used_link {
            return Vec::new();
        }
        let asked = &self.asked;
        let sides = directory.remote(random, self.samples, |side| !asked.contains_key(&side));
        if sides.is_empty() || !link_budget.take(now, self.bytes) {
            return Vec::new();
        }
        self.has_used_link = true;
        self.ask(sides)
    }

    fn ask(&mut self, sides: Vec<S>) -> Vec<S> {
        for side in &sides {
            self.asked.insert(*side, State::Unanswered);
        }
        sides
    }
}
