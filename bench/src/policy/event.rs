//! Events and their queue, ordered by time.

use almondwell_schema::Ticket;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

/// Index of a call in its trace.
pub(crate) type CallId = usize;
pub(crate) type SideId = usize;

/// Message from an entry to a side.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum ToSide {
    /// Reserves a slot, with the number of sides likely to hold a reservation for the call.
    Reserve(u8),
    Run(Ticket),
    Withdraw,
}

/// Message from a side to an entry.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum ToEntry {
    Grant(Ticket),
    /// The side did not run the call, since its ticket was no longer valid.
    NotRun,
    /// The reservation waits, with its estimated wait.
    Queued(Duration),
    /// The reservation was refused, with the proposed delay before it is tried again.
    Refused(Duration),
}

/// What happens at one moment of the simulated time.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum Event {
    Arrive(CallId),
    EntryMessage(CallId, SideId, ToEntry),
    SideMessage(CallId, SideId, ToSide),
    Deadline(CallId),
    Prefilled(CallId, SideId),
    /// All sides report their load.
    Report,
    /// The side's engine completes a decode step.
    Step(SideId),
    /// All sides offer the slots of expired offers again.
    Tick,
}

/// Queue of events, ordered by time and then by insertion.
#[derive(Debug, Default)]
pub(crate) struct Events {
    sequence: u64,
    heap: BinaryHeap<Reverse<(Duration, u64, Event)>>,
}

impl Events {
    pub(crate) fn push(&mut self, at: Duration, event: Event) {
        self.sequence += 1;
        self.heap.push(Reverse((at, self.sequence, event)));
    }

    pub(crate) fn pop(&mut self) -> Option<(Duration, Event)> {
        let Reverse((at, _, event)) = self.heap.pop()?;
        Some((at, event))
    }
}
