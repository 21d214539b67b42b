//! A simulated entry, which decides at which sides a call reserves a slot and which grant it uses.

use super::event::SideId;
use super::{Call, Pick, Plan, Pool, Route, Size};
use almondwell_core::{Binding, Directory, LinkBudget, Site, Step};
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use std::time::Duration;

/// Bytes that a call and its answer send over the link between regions.
const CALL_BYTES: u32 = 8 << 10;
/// Bytes per second of the link between regions, the same in each direction.
const LINK_BYTES_PER_SECOND: u64 = 30_000_000 / 8;

/// A simulated entry.
#[derive(Debug)]
pub(crate) struct Entry {
    plain: Directory<SideId>,
    engines: Directory<SideId>,
    /// Counter of the round-robin policy.
    next: usize,
    link_budget: LinkBudget,
}

impl Entry {
    pub(crate) fn new(size: &Size, zone: usize, plan: &Plan) -> Self {
        let directory = |pool| {
            let sites: Vec<_> = size
                .pool(pool)
                .map(|side| Site {
                    is_local: Size::is_same_region(zone, Size::zone(side)),
                    side,
                })
                .collect();
            Directory::new(&sites, |side| side as u64)
        };
        let rate = if plan.cross_region {
            LINK_BYTES_PER_SECOND / super::size::ZONES as u64
        } else {
            0
        };
        Self {
            plain: directory(Pool::Plain),
            engines: directory(Pool::Engines),
            next: zone,
            link_budget: LinkBudget::new(rate),
        }
    }

    /// Starts the placement of `call`; returns its state and the first sides to ask.
    pub(crate) fn start(
        &mut self,
        plan: &Plan,
        size: &Size,
        call: &Call,
        loads: &[usize],
        random: &mut StdRng,
    ) -> (Binding<SideId>, Vec<SideId>) {
        let prefix = if plan.affinity { call.prefix } else { 0 };
        let samples = match plan.route {
            Route::Late(samples) => samples,
            Route::Ideal | Route::Push(_) => 1,
        };
        let mut binding = Binding::new(samples, prefix, CALL_BYTES);
        let sides = match plan.route {
            Route::Late(_) => binding.start(random, self.directory(call)),
            Route::Push(pick) => vec![self.pick(pick, size, call, loads, random)],
            Route::Ideal => Vec::new(),
        };
        (binding, sides)
    }

    pub(crate) fn queued(
        &mut self,
        now: Duration,
        binding: &mut Binding<SideId>,
        call: &Call,
        (side, wait): (SideId, Duration),
        random: &mut StdRng,
    ) -> Step<SideId> {
        let directory = directory(&self.engines, &self.plain, call);
        binding.queued(now, side, wait, random, directory, &mut self.link_budget)
    }

    pub(crate) fn refused(
        &mut self,
        now: Duration,
        binding: &mut Binding<SideId>,
        call: &Call,
        (side, retry): (SideId, Duration),
        random: &mut StdRng,
    ) -> Step<SideId> {
        let directory = directory(&self.engines, &self.plain, call);
        binding.refused(now, side, retry, random, directory, &mut self.link_budget)
    }

    fn directory(&self, call: &Call) -> &Directory<SideId> {
        directory(&self.engines, &self.plain, call)
    }

    fn pick(
        &mut self,
        pick: Pick,
        size: &Size,
        call: &Call,
        loads: &[usize],
        random: &mut StdRng,
    ) -> SideId {
        let pool: Vec<_> = size.pool(call.class().pool).collect();
        match pick {
            Pick::LeastLoad => least_loaded(&pool, loads, random),
            Pick::RoundRobin => {
                self.next += 1;
                pool[self.next % pool.len()]
            }
            Pick::TwoChoices => {
                let candidates: Vec<_> = pool.choose_multiple(random, 2).copied().collect();
                least_loaded(&candidates, loads, random)
            }
        }
    }
}

fn directory<'a>(
    engines: &'a Directory<SideId>,
    plain: &'a Directory<SideId>,
    call: &Call,
) -> &'a Directory<SideId> {
    match call.class().pool {
        Pool::Plain => plain,
        Pool::Engines => engines,
    }
}

/// One of the sides with the least load in `loads`, at random.
fn least_loaded(sides: &[SideId], loads: &[usize], random: &mut StdRng) -> SideId {
    let min_load = sides.iter().map(|side| loads[*side]).min().unwrap_or(0);
    let ties: Vec<_> = sides
        .iter()
        .filter(|side| loads[**side] == min_load)
        .collect();
    ties.choose(random).map_or(sides[0], |side| **side)
}

/// State of a call at its entry.
#[derive(Clone, Debug)]
pub(crate) enum State {
    /// The call has ended.
    Done,
    /// The call has not arrived, or a push policy has sent it to one side.
    New,
    /// Sides may hold reservations for the call.
    Open(Binding<SideId>),
    /// The call was sent to this side to run.
    Running(SideId),
}
