//! The entries' part of a run: which sides are asked and which offer is taken.

use super::event::SideId;
use super::{Call, Pick, Plan, Pool, Route, Size};
use almondwell_core::{Binding, Directory, LinkBudget, Site, Step};
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use std::time::Duration;

/// Bytes that a call and its answer put on the link between regions.
const CALL_BYTES: u32 = 8 << 10;
/// Bytes per second of the link between regions, both ways alike.
const LINK_RATE: u64 = 30_000_000 / 8;

/// One entry.
#[derive(Debug)]
pub(crate) struct Entry {
    desks: Directory<SideId>,
    engines: Directory<SideId>,
    next: usize,
    spill: LinkBudget,
}

impl Entry {
    pub(crate) fn new(size: &Size, zone: usize, plan: &Plan) -> Self {
        let directory = |pool| {
            let sites: Vec<_> = size
                .pool(pool)
                .map(|side| Site {
                    is_local: Size::is_near(zone, Size::zone(side)),
                    side,
                })
                .collect();
            Directory::new(&sites, |side| side as u64)
        };
        let rate = if plan.spill {
            LINK_RATE / super::size::ZONES as u64
        } else {
            0
        };
        Self {
            desks: directory(Pool::Desks),
            engines: directory(Pool::Engines),
            next: zone,
            spill: LinkBudget::new(rate),
        }
    }

    /// Sides asked first.
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
        let directory = directory(&self.engines, &self.desks, call);
        binding.queued(now, side, wait, random, directory, &mut self.spill)
    }

    pub(crate) fn refused(
        &mut self,
        now: Duration,
        binding: &mut Binding<SideId>,
        call: &Call,
        (side, retry): (SideId, Duration),
        random: &mut StdRng,
    ) -> Step<SideId> {
        let directory = directory(&self.engines, &self.desks, call);
        binding.refused(now, side, retry, random, directory, &mut self.spill)
    }

    fn directory(&self, call: &Call) -> &Directory<SideId> {
        directory(&self.engines, &self.desks, call)
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
            Pick::LeastLoad => least(&pool, loads, random),
            Pick::RoundRobin => {
                self.next += 1;
                pool[self.next % pool.len()]
            }
            Pick::TwoChoices => {
                let two: Vec<_> = pool.choose_multiple(random, 2).copied().collect();
                least(&two, loads, random)
            }
        }
    }
}

fn directory<'a>(
    engines: &'a Directory<SideId>,
    desks: &'a Directory<SideId>,
    call: &Call,
) -> &'a Directory<SideId> {
    match call.class().pool {
        Pool::Desks => desks,
        Pool::Engines => engines,
    }
}

/// One of the least loaded by the lagged reports.
fn least(sides: &[SideId], loads: &[usize], random: &mut StdRng) -> SideId {
    let least = sides.iter().map(|side| loads[*side]).min().unwrap_or(0);
    let ties: Vec<_> = sides.iter().filter(|side| loads[**side] == least).collect();
    ties.choose(random).map_or(sides[0], |side| **side)
}

/// State of a call at its entry.
#[derive(Clone, Debug)]
pub(crate) enum State {
    Done,
    New,
    Open(Binding<SideId>),
    Running(SideId),
}
