//! A simulated side with the production queue and a simulated engine.

use super::engine::Engine;
use super::event::CallId;
use super::{Call, Plan};
use almondwell_core::{Answer, Offer, Queue, Reservation};
use almondwell_schema::{RequestId, Ticket};
use std::time::Duration;

/// A simulated side with the production queue and a simulated engine.
#[derive(Debug)]
pub(crate) struct Side {
    pub(crate) engine: Engine,
    pub(crate) queue: Queue<()>,
}

/// Effects of a reservation.
pub(crate) struct Reserved {
    pub(crate) answer: Answer<()>,
    pub(crate) offers: Vec<Offer<()>>,
    /// Waiting requests that the queue dropped in favor of others.
    pub(crate) shed: Vec<RequestId>,
}

impl Side {
    pub(crate) fn new(plan: &Plan) -> Self {
        Self {
            engine: Engine::default(),
            queue: Queue::new(plan.queue),
        }
    }

    pub(crate) fn reserve(
        &mut self,
        now: Duration,
        id: CallId,
        call: &Call,
        copies: u8,
    ) -> Reserved {
        let class = call.class();
        let waited = now.saturating_sub(call.arrived);
        let reservation = Reservation {
            class: class.name.into(),
            copies,
            from: (),
            left: class.deadline.saturating_sub(waited),
            priority: 0,
            request: id as RequestId,
            share: 1,
            target: class.target.saturating_sub(waited),
            tier: class.tier,
            workspace: WORKSPACE_NAMES[call.workspace].into(),
        };
        let answer = self.queue.reserve(now, reservation);
        let shed = self.queue.take_shed();
        Reserved {
            answer,
            offers: self.offers(now),
            shed: shed
                .into_iter()
                .map(|reservation| reservation.request)
                .collect(),
        }
    }

    /// Offers of all slots that are free at `now`.
    pub(crate) fn offers(&mut self, now: Duration) -> Vec<Offer<()>> {
        std::iter::from_fn(|| self.queue.next(now)).collect()
    }

    /// Number of waiting and running requests.
    pub(crate) fn load(&self) -> usize {
        self.queue.waiting() + self.queue.running()
    }

    pub(crate) fn finish(&mut self, now: Duration, ticket: Ticket) -> Vec<Offer<()>> {
        self.queue.finish(now, ticket);
        self.offers(now)
    }
}

const WORKSPACE_NAMES: [&str; 10] = ["w0", "w1", "w2", "w3", "w4", "w5", "w6", "w7", "w8", "w9"];
