//! Simulation of one trace under one plan in one scenario.

use super::engine::{Active, STEP_TIME};
use super::entry::State;
use super::event::{CallId, SideId};
use super::scenario::ARRIVALS_END;
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

/// Period of the load reports that push policies read.
const REPORT_PERIOD: Duration = Duration::from_millis(100);
/// Reports that are kept; entries read the oldest, so that their view of loads is up to this many
/// periods old.
const MAX_REPORTS: usize = 5;
/// Period after which sides offer the slots of expired offers to other reservations, as the real
/// side does.
const TICK_PERIOD: Duration = Duration::from_millis(50);
/// Simulated time at which a run stops; calls that are still open then keep `End::Open`.
const MAX_RUN_TIME: Duration = Duration::from_mins(30);

/// State of one run.
pub(crate) struct Simulation<'a> {
    entries: Vec<Entry>,
    events: Events,
    now: Duration,
    open_calls: usize,
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
    pub(crate) cache_hits: usize,
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
            open_calls: trace.calls.len(),
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
        while self.open_calls > 0
            && self.now < MAX_RUN_TIME
            && let Some((at, event)) = self.events.pop()
        {
            self.now = at;
            self.handle(event);
        }
        Run {
            cache_hits: self.sides.iter().map(|side| side.engine.cache_hits).sum(),
            records: self.records,
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(id) => self.arrive(id),
            Event::EntryMessage(id, side, message) => self.handle_entry_message(id, side, message),
            Event::SideMessage(id, side, message) => self.handle_side_message(id, side, message),
            Event::Deadline(id) => self.handle_deadline(id),
            Event::Prefilled(id, side) => self.handle_prefilled(id, side),
            Event::Report => self.record_report(),
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
        self.send_reservations(id, &sides);
        if let Route::Push(Pick::LeastLoad | Pick::RoundRobin | Pick::TwoChoices) = self.plan.route
        {
            self.states[id] = State::New;
        }
    }

    fn send_reservations(&mut self, id: CallId, sides: &[SideId]) {
        let copies = match &self.states[id] {
            State::Open(binding) => binding.copies().max(1),
            State::Done | State::New | State::Running(_) => 1,
        };
        for side in sides {
            self.send_to_side(id, *side, ToSide::Reserve(copies));
        }
    }

    fn handle_entry_message(&mut self, id: CallId, side: SideId, message: ToEntry) {
        match message {
            ToEntry::Grant(ticket) => self.handle_grant(id, side, ticket),
            ToEntry::NotRun => self.restart_placement(id),
            ToEntry::Queued(wait) => {
                let call = &self.trace.calls[id];
                let State::Open(binding) = &mut self.states[id] else {
                    return;
                };
                let entry = &mut self.entries[call.entry];
                let step = entry.queued(self.now, binding, call, (side, wait), &mut self.random);
                self.apply_step(id, step);
            }
            ToEntry::Refused(retry) => {
                let call = &self.trace.calls[id];
                let State::Open(binding) = &mut self.states[id] else {
                    if matches!(self.states[id], State::New) {
                        self.end_call(id, End::Refused);
                    }
                    return;
                };
                if !self.plan.widen {
                    binding.mark_refused(side);
                    if binding.open().next().is_none() {
                        self.end_call(id, End::Refused);
                    }
                    return;
                }
                let entry = &mut self.entries[call.entry];
                let step = entry.refused(self.now, binding, call, (side, retry), &mut self.random);
                self.apply_step(id, step);
            }
        }
    }

    fn handle_grant(&mut self, id: CallId, side: SideId, ticket: Ticket) {
        match &self.states[id] {
            State::New | State::Open(_) => self.apply_step(id, Step::Run(side, ticket)),
            State::Done | State::Running(_) => self.send_to_side(id, side, ToSide::Withdraw),
        }
    }

    fn apply_step(&mut self, id: CallId, step: Step<SideId>) {
        match step {
            Step::Ask(sides) => self.send_reservations(id, &sides),
            Step::Refuse(_) => self.end_call(id, End::Refused),
            Step::Run(side, ticket) => {
                self.send_withdrawals(id, Some(side));
                self.states[id] = State::Running(side);
                self.send_to_side(id, side, ToSide::Run(ticket));
            }
            Step::Wait => {}
        }
    }

    fn send_withdrawals(&mut self, id: CallId, except: Option<SideId>) {
        let State::Open(binding) = &self.states[id] else {
            return;
        };
        let sides: Vec<_> = binding
            .open()
            .filter(|side| Some(*side) != except)
            .collect();
        for side in sides {
            self.send_to_side(id, side, ToSide::Withdraw);
        }
    }

    fn restart_placement(&mut self, id: CallId) {
        if !matches!(self.states[id], State::Done) {
            self.arrive(id);
        }
    }

    fn handle_side_message(&mut self, id: CallId, index: SideId, message: ToSide) {
        let now = self.now;
        match message {
            ToSide::Reserve(copies) => self.handle_reserve(id, index, copies),
            ToSide::Withdraw => {
                let side = &mut self.sides[index];
                side.queue.withdraw(id as u128);
                let offers = side.offers(now);
                self.send_grants(index, &offers);
            }
            ToSide::Run(ticket) => {
                if self.sides[index]
                    .queue
                    .start(now, ticket, id as u128)
                    .is_ok()
                {
                    self.start_call(id, index, ticket);
                } else {
                    self.send_to_entry(id, index, ToEntry::NotRun);
                }
            }
        }
    }

    fn handle_reserve(&mut self, id: CallId, index: SideId, copies: u8) {
        let call = &self.trace.calls[id];
        let reserved = self.sides[index].reserve(self.now, id, call, copies);
        self.send_grants(index, &reserved.offers);
        for request in reserved.shed {
            let request = usize::try_from(request).unwrap_or(0);
            self.send_to_entry(request, index, ToEntry::Refused(Duration::from_secs(1)));
        }
        let is_granted = reserved
            .offers
            .iter()
            .any(|offer| offer.request == id as u128);
        match reserved.answer {
            Answer::Offered(offer) => self.send_grants(index, &[offer]),
            Answer::Queued(_) if is_granted => {}
            Answer::Queued(wait) => self.send_to_entry(id, index, ToEntry::Queued(wait)),
            Answer::Refused(_, retry) => self.send_to_entry(id, index, ToEntry::Refused(retry)),
        }
    }

    fn send_grants(&mut self, index: SideId, offers: &[Offer<()>]) {
        for offer in offers {
            let id = usize::try_from(offer.request).unwrap_or(0);
            self.send_to_entry(id, index, ToEntry::Grant(offer.ticket));
        }
    }

    fn start_call(&mut self, id: CallId, index: SideId, ticket: Ticket) {
        if matches!(self.states[id], State::Done) {
            let offers = self.sides[index].finish(self.now, ticket);
            return self.send_grants(index, &offers);
        }
        let call = &self.trace.calls[id];
        let active = Active {
            call: id,
            is_prefilled: false,
            ticket,
            tokens_remaining: call.tokens,
        };
        self.records[id].started = Some(self.now);
        let prefill = self.sides[index].engine.start(active, call.prefix);
        let at = self.now + prefill * self.slowdown(index);
        self.events.push(at, Event::Prefilled(id, index));
    }

    fn handle_prefilled(&mut self, id: CallId, index: SideId) {
        self.sides[index].engine.mark_prefilled(id);
        self.schedule_step(index);
    }

    fn schedule_step(&mut self, index: SideId) {
        let at = self.now + STEP_TIME * self.slowdown(index);
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
                self.end_call(active.call, End::Finished);
                let offers = self.sides[index].finish(self.now, active.ticket);
                self.send_grants(index, &offers);
            }
        }
        self.schedule_step(index);
    }

    fn handle_deadline(&mut self, id: CallId) {
        match self.states[id] {
            State::Done => {}
            State::New | State::Open(_) => {
                self.send_withdrawals(id, None);
                self.end_call(id, End::Expired);
            }
            State::Running(index) => {
                let side = &mut self.sides[index];
                let active = side.engine.active.iter().find(|active| active.call == id);
                let ticket = active.map(|active| active.ticket);
                side.engine.cancel(id);
                self.end_call(id, End::Cancelled);
                if let Some(ticket) = ticket {
                    let offers = self.sides[index].finish(self.now, ticket);
                    self.send_grants(index, &offers);
                }
            }
        }
    }

    fn end_call(&mut self, id: CallId, end: End) {
        if matches!(self.states[id], State::Done) {
            return;
        }
        self.states[id] = State::Done;
        self.records[id].end = end;
        self.records[id].finished = self.now;
        self.open_calls -= 1;
    }

    fn record_report(&mut self) {
        self.reports
            .push_back(self.sides.iter().map(Side::load).collect());
        if self.reports.len() > MAX_REPORTS {
            self.reports.pop_front();
        }
        self.events.push(self.now + REPORT_PERIOD, Event::Report);
    }

    fn tick(&mut self) {
        for index in 0..self.sides.len() {
            let offers = self.sides[index].offers(self.now);
            self.send_grants(index, &offers);
        }
        self.events.push(self.now + TICK_PERIOD, Event::Tick);
    }

    fn slowdown(&self, index: SideId) -> u32 {
        let first = if index < self.size.engines {
            0
        } else {
            self.size.engines
        };
        self.scenario
            .slowdown(index - first, self.now.min(ARRIVALS_END))
    }

    fn send_to_side(&mut self, id: CallId, side: SideId, message: ToSide) {
        let at = self.now + self.delay(id, side);
        self.events.push(at, Event::SideMessage(id, side, message));
    }

    fn send_to_entry(&mut self, id: CallId, side: SideId, message: ToEntry) {
        let at = self.now + self.delay(id, side);
        self.events.push(at, Event::EntryMessage(id, side, message));
    }

    fn delay(&self, id: CallId, side: SideId) -> Duration {
        let call: &Call = &self.trace.calls[id];
        self.size.delay(call.entry, Size::zone(side))
    }
}
