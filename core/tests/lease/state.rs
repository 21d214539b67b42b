//! States of the model: which events are possible, and which states are equal.

use crate::world::{
    Event, LEASE_TICKS, NUMBER_DIGITS, RANDOM_DIGITS, TIME_DIGITS, TRANSIT_TICKS, VERSION_DIGITS,
    WINDOW_DIGITS, World,
};
use almondwell_core::lease::Step;
use std::hash::{DefaultHasher, Hash, Hasher};

impl World {
    /// Events that can happen now.
    pub(crate) fn events(&self, horizon: u32) -> Vec<Event> {
        let mut events = Vec::new();
        let (lost, releases, restarts) = self.bounds_left;
        // The response to a write concerns its sender alone, so that nothing else needs to happen before it arrives, is delayed
        // or is lost.
        for (index, sent) in self.writes.iter().enumerate() {
            if sent.result.is_none() || sent.is_delayed {
                continue;
            }
            for (process, state) in self.processes.iter().enumerate() {
                let awaited = state.call.as_ref().map(|write| write.record.write);
                if awaited == Some(sent.write.record.write) {
                    let mut events = vec![Event::Deliver(process)];
                    if lost > 0 {
                        events.extend([Event::Delay(index), Event::Lose(process)]);
                    }
                    return events;
                }
            }
        }
        for index in 0..self.acts.len() {
            events.push(Event::Arrive(index));
            if lost > 0 {
                events.push(Event::LoseAct(index));
            }
        }
        for (index, sent) in self.writes.iter().enumerate() {
            if sent.result.is_none() {
                events.push(Event::Apply(index));
            }
        }
        for (index, process) in self.processes.iter().enumerate() {
            let is_acting = self
                .acts
                .iter()
                .any(|act| act.process == index && act.has_sender);
            if !is_acting && process.lease.number(self.time()).is_some() {
                // One more call of the same holder at the same time would prove nothing.
                if self.provider.acts.last() != Some(&(index, self.now)) {
                    events.push(Event::Act(index, false));
                }
                if process.lease.report(self.time()).is_some() {
                    events.push(Event::Act(index, true));
                }
            }
            match &process.call {
                Some(write) if self.result(write).is_some() => events.push(Event::Deliver(index)),
                Some(_) => {}
                None => match process.lease.next(self.time(), true) {
                    Step::Acquire | Step::Renew => events.push(Event::Write(index)),
                    Step::Read => events.push(Event::Sample(index, false)),
                    Step::ReadStale => {
                        events.push(Event::Sample(index, false));
                        if self.earlier.is_some() {
                            events.push(Event::Sample(index, true));
                        }
                    }
                    Step::Wait(_) => {}
                },
            }
            if process.call.is_some() && lost > 0 {
                events.push(Event::Lose(index));
            }
            if releases > 0
                && process.call.is_none()
                && !is_acting
                && process.lease.number(self.time()).is_some()
            {
                events.push(Event::Release(index));
            }
            if restarts > 0 {
                events.push(Event::Restart(index));
            }
        }
        let is_arriving = self
            .acts
            .iter()
            .any(|act| act.sent_at + TRANSIT_TICKS <= self.now);
        // Only a fault makes a call take a tick or more.
        let is_calling = self.processes.iter().any(|process| process.call.is_some());
        if !is_arriving && self.now < horizon && (lost > 0 || !is_calling) {
            events.push(Event::Tick);
        }
        events
    }

    /// Drops what can have no effect any more, so that equal states are recognized.
    pub(crate) fn forget(&mut self) {
        let version = self.object.as_ref().map(|(version, _)| *version);
        let processes = &self.processes;
        self.writes.retain(|sent| {
            let is_awaited = processes.iter().any(|process| {
                let awaited = process.call.as_ref().map(|write| write.record.write);
                awaited == Some(sent.write.record.write)
            });
            is_awaited || (sent.result.is_none() && sent.write.expected == version)
        });
        let now = self.now;
        self.provider.acts.retain(|(_, at)| now < *at + LEASE_TICKS);
    }

    /// Hash of the state.
    pub(crate) fn hash(&self) -> u64 {
        let state = Self {
            next: 0,
            ..self.clone()
        };
        let text = format!("{state:?}");
        let mut hasher = DefaultHasher::new();
        self.now.hash(&mut hasher);
        let mut numbers = Vec::new();
        let mut greatest = [0; RANDOM_DIGITS + 1];
        let mut rest = text.as_str();
        while let Some(start) = rest.find(|character: char| character.is_ascii_digit()) {
            let (words, tail) = rest.split_at(start);
            let digits = tail.bytes().take_while(u8::is_ascii_digit).count();
            hasher.write(words.as_bytes());
            if let Ok(value) = tail[..digits].parse::<u64>() {
                greatest[digits] = value.max(greatest[digits]);
                numbers.push((digits, value));
            }
            rest = &tail[digits..];
        }
        hasher.write(rest.as_bytes());
        let oldest = u64::from(self.now - LEASE_TICKS - 1);
        let mut names = Vec::new();
        for (digits, value) in numbers {
            let relative = match digits {
                RANDOM_DIGITS => {
                    let position = names.iter().position(|name| *name == value);
                    if position.is_none() {
                        names.push(value);
                    }
                    position.unwrap_or(names.len()) as u64
                }
                NUMBER_DIGITS | VERSION_DIGITS | WINDOW_DIGITS => greatest[digits] - value,
                TIME_DIGITS => value.max(oldest) - oldest,
                _ => value,
            };
            relative.hash(&mut hasher);
        }
        hasher.finish()
    }
}
