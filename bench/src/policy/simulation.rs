//! One run: a trace under a plan in a scenario.

use super::engine::{Active, STEP};
use super::entry::State;
use super::event::{CallId, SideId};
use super::scenario::END;
use super::{
    Call, End, Engine, Entry, Event, Events, Pick, Plan, Record, Route, Scenario, Side, Size,
    ToEntry, ToSide, Trace,
};
use almondwell_core::{Answer, Offer, Step};
use almondwell_schema::Ticket;
use rand::SeedableRng;
use rand::rngs::StdRng;
use std::collections::VecDeque;
use std::time::Duration;

const REPORT_PERIOD: Duration = Duration::from_millis(100);
/// Reports are this many periods old when they are read.
const REPORT_LAG: usize = 5;
/// Period in which sides pass on places whose offers ran out, as the daemon does.
const TICK_PERIOD: Duration = Duration::from_millis(50);
/// Calls open at this time are left open.
const STOP: Duration = Duration::from_mins(30);

/// One run.
pub(crate) struct Simulation<'a> {
    entries: Vec<Entry>,
    events: Events,
    now: Duration,
    open: usize,
    plan: &'a Plan,
    random: StdRng,
    records: Vec<Record>,
    reports: VecDeque<Vec<usize>>,
    scenario: Scenario,
    sides: Vec<Side>,
    size: &'a Size,
    states: Vec<State>,
    trace: &'a Trace,
}

/// Result of a run.
pub(crate) struct Run {
    pub(crate) hits: usize,
    pub(crate) records: Vec<Record>,
}

impl<'a> Simulation<'a> {
    pub(crate) fn new(
        plan: &'a Plan,
        scenario: Scenario,
        size: &'a Size,
        trace: &'a Trace,
        seed: u64,
    ) -> Self {
        let mut events = Events::default();
        for (id, call) in trace.calls.iter().enumerate() {
            events.push(call.arrived, Event::Arrive(id));
        }
        events.push(Duration::ZERO, Event::Tick);
        events.push(Duration::ZERO, Event::Report);
        Self {
            entries: (0..super::size::ZONES)
                .map(|zone| Entry::new(size, zone, plan))
                .collect(),
            events,
            now: Duration::ZERO,
            open: trace.calls.len(),
            plan,
            random: StdRng::seed_from_u64(seed),
            records: vec![Record::default(); trace.calls.len()],
            reports: VecDeque::from([vec![0; size.sides()]]),
            scenario,
            sides: (0..size.sides()).map(|_| Side::new(plan)).collect(),
            size,
            states: vec![State::New; trace.calls.len()],
            trace,
        }
    }

    pub(crate) fn run(mut self) -> Run {
        while self.open > 0
            && self.now < STOP
            && let Some((at, event)) = self.events.pop()
        {
            self.now = at;
            self.handle(event);
        }
        Run {
            hits: self.sides.iter().map(|side| side.engine.hits).sum(),
            records: self.records,
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(id) => self.arrive(id),
            Event::AtEntry(id, side, message) => self.at_entry(id, side, message),
            Event::AtSide(id, side, message) => self.at_side(id, side, message),
            Event::Deadline(id) => self.expire(id),
            Event::Prefilled(id, side) => self.prefilled(id, side),
            Event::Report => self.report(),
            Event::Step(side) => self.step(side),
            Event::Tick => self.tick(),
        }
    }

    fn arrive(&mut self, id: CallId) {
        let call = &self.trace.calls[id];
        self.events
            .push(call.arrived + call.class().deadline, Event::Deadline(id));
        let loads = &self.reports[0];
        let (binding, sides) =
            self.entries[call.entry].start(self.plan, self.size, call, loads, &mut self.random);
        self.states[id] = State::Open(binding);
        self.ask(id, &sides);
        if let Route::Push(Pick::LeastLoad | Pick::RoundRobin | Pick::TwoChoices) = self.plan.route
        {
            self.states[id] = State::New;
        }
    }

    fn ask(&mut self, id: CallId, sides: &[SideId]) {
        let copies = match &self.states[id] {
            State::Open(binding) => binding.copies().max(1),
            State::Done | State::New | State::Running(_) => 1,
        };
        for side in sides {
            self.tell_side(id, *side, ToSide::Reserve(copies));
        }
    }

    fn at_entry(&mut self, id: CallId, side: SideId, message: ToEntry) {
        match message {
            ToEntry::Grant(ticket) => self.granted(id, side, ticket),
            ToEntry::NotRun => self.arrive_again(id),
            ToEntry::Queued(wait) => {
                let call = &self.trace.calls[id];
                let State::Open(binding) = &mut self.states[id] else {
                    return;
                };
                let entry = &mut self.entries[call.entry];
                let step = entry.queued(self.now, binding, call, (side, wait), &mut self.random);
                self.follow(id, step);
            }
            ToEntry::Refused(retry) => {
                let call = &self.trace.calls[id];
                let State::Open(binding) = &mut self.states[id] else {
                    if matches!(self.states[id], State::New) {
                        self.end(id, End::Refused);
                    }
                    return;
                };
                if !self.plan.widen {
                    binding.mark_refused(side);
                    if binding.open().next().is_none() {
                        self.end(id, End::Refused);
                    }
                    return;
                }
                let entry = &mut self.entries[call.entry];
                let step = entry.refused(self.now, binding, call, (side, retry), &mut self.random);
                self.follow(id, step);
            }
        }
    }

    fn granted(&mut self, id: CallId, side: SideId, ticket: Ticket) {
        match &self.states[id] {
            State::New | State::Open(_) => self.follow(id, Step::Run(side, ticket)),
            State::Done | State::Running(_) => self.tell_side(id, side, ToSide::Withdraw),
        }
    }

    fn follow(&mut self, id: CallId, step: Step<SideId>) {
        match step {
            Step::Ask(sides) => self.ask(id, &sides),
            Step::Refuse(_) => self.end(id, End::Refused),
            Step::Run(side, ticket) => {
                self.withdraw(id, Some(side));
                self.states[id] = State::Running(side);
                self.tell_side(id, side, ToSide::Run(ticket));
            }
            Step::Wait => {}
        }
    }

    fn withdraw(&mut self, id: CallId, but: Option<SideId>) {
        let State::Open(binding) = &self.states[id] else {
            return;
        };
        let sides: Vec<_> = binding.open().filter(|side| Some(*side) != but).collect();
        for side in sides {
            self.tell_side(id, side, ToSide::Withdraw);
        }
    }

    fn arrive_again(&mut self, id: CallId) {
        if !matches!(self.states[id], State::Done) {
            self.arrive(id);
        }
    }

    fn at_side(&mut self, id: CallId, index: SideId, message: ToSide) {
        let now = self.now;
        match message {
            ToSide::Reserve(copies) => self.reserve(id, index, copies),
            ToSide::Withdraw => {
                let side = &mut self.sides[index];
                side.queue.withdraw(id as u128);
                let offers = side.offers(now);
                self.grant(index, &offers);
            }
            ToSide::Run(ticket) => {
                if self.sides[index]
                    .queue
                    .start(now, ticket, id as u128)
                    .is_ok()
                {
                    self.start(id, index, ticket);
                } else {
                    self.tell_entry(id, index, ToEntry::NotRun);
                }
            }
        }
    }

    fn reserve(&mut self, id: CallId, index: SideId, copies: u8) {
        let call = &self.trace.calls[id];
        let reserved = self.sides[index].reserve(self.now, id, call, copies);
        self.grant(index, &reserved.offers);
        for shed in reserved.shed {
            let shed = usize::try_from(shed).unwrap_or(0);
            self.tell_entry(shed, index, ToEntry::Refused(Duration::from_secs(1)));
        }
        let is_granted = reserved
            .offers
            .iter()
            .any(|offer| offer.request == id as u128);
        match reserved.answer {
            Answer::Offered(offer) => self.grant(index, &[offer]),
            Answer::Queued(_) if is_granted => {}
            Answer::Queued(wait) => self.tell_entry(id, index, ToEntry::Queued(wait)),
            Answer::Refused(_, retry) => self.tell_entry(id, index, ToEntry::Refused(retry)),
        }
    }

    fn grant(&mut self, index: SideId, offers: &[Offer<()>]) {
        for offer in offers {
            let id = usize::try_from(offer.request).unwrap_or(0);
            self.tell_entry(id, index, ToEntry::Grant(offer.ticket));
        }
    }

    fn start(&mut self, id: CallId, index: SideId, ticket: Ticket) {
        if matches!(self.states[id], State::Done) {
            let offers = self.sides[index].finish(self.now, ticket);
            return self.grant(index, &offers);
        }
        let call = &self.trace.calls[id];
        let active = Active {
            call: id,
            is_prefilled: false,
            ticket,
            tokens_left: call.tokens,
        };
        self.records[id].started = Some(self.now);
        let prefill = self.sides[index].engine.start(active, call.prefix);
        let at = self.now + prefill * self.slow(index);
        self.events.push(at, Event::Prefilled(id, index));
    }

    fn prefilled(&mut self, id: CallId, index: SideId) {
        self.sides[index].engine.prefilled(id);
        self.schedule_step(index);
    }

    fn schedule_step(&mut self, index: SideId) {
        let at = self.now + STEP * self.slow(index);
        let engine: &mut Engine = &mut self.sides[index].engine;
        if !engine.is_stepping && engine.has_work() {
            engine.is_stepping = true;
            self.events.push(at, Event::Step(index));
        }
    }

    fn step(&mut self, index: SideId) {
        self.sides[index].engine.is_stepping = false;
        for (active, is_last) in self.sides[index].engine.step() {
            let record = &mut self.records[active.call];
            record.first_token.get_or_insert(self.now);
            if self.plan.pace {
                self.sides[index].queue.token(self.now, active.ticket);
            }
            if is_last {
                self.end(active.call, End::Finished);
                let offers = self.sides[index].finish(self.now, active.ticket);
                self.grant(index, &offers);
            }
        }
        self.schedule_step(index);
    }

    fn expire(&mut self, id: CallId) {
        match self.states[id] {
            State::Done => {}
            State::New | State::Open(_) => {
                self.withdraw(id, None);
                self.end(id, End::Expired);
            }
            State::Running(index) => {
                let side = &mut self.sides[index];
                let active = side.engine.active.iter().find(|active| active.call == id);
                let ticket = active.map(|active| active.ticket);
                side.engine.cancel(id);
                self.end(id, End::Cancelled);
                if let Some(ticket) = ticket {
                    let offers = self.sides[index].finish(self.now, ticket);
                    self.grant(index, &offers);
                }
            }
        }
    }

    fn end(&mut self, id: CallId, end: End) {
        if matches!(self.states[id], State::Done) {
            return;
        }
        self.states[id] = State::Done;
        self.records[id].end = end;
        self.records[id].finished = self.now;
        self.open -= 1;
    }

    fn report(&mut self) {
        self.reports
            .push_back(self.sides.iter().map(Side::load).collect());
        if self.reports.len() > REPORT_LAG {
            self.reports.pop_front();
        }
        self.events.push(self.now + REPORT_PERIOD, Event::Report);
    }

    fn tick(&mut self) {
        for index in 0..self.sides.len() {
            let offers = self.sides[index].offers(self.now);
            self.grant(index, &offers);
        }
        self.events.push(self.now + TICK_PERIOD, Event::Tick);
    }

    fn slow(&self, index: SideId) -> u32 {
        let first = if index < self.size.engines {
            0
        } else {
            self.size.engines
        };
        self.scenario.slow(index - first, self.now.min(END))
    }

    fn tell_side(&mut self, id: CallId, side: SideId, message: ToSide) {
        let at = self.now + self.delay(id, side);
        self.events.push(at, Event::AtSide(id, side, message));
    }

    fn tell_entry(&mut self, id: CallId, side: SideId, message: ToEntry) {
        let at = self.now + self.delay(id, side);
        self.events.push(at, Event::AtEntry(id, side, message));
    }

    fn delay(&self, id: CallId, side: SideId) -> Duration {
        let call: &Call = &self.trace.calls[id];
        self.size.delay(call.entry, Size::zone(side))
    }
}
