//! Policies that are measured.

use almondwell_core::Settings;

/// How a push policy picks the one side it uses.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Pick {
    LeastLoad,
    RoundRobin,
    TwoChoices,
}

/// How a call finds its side.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Route {
    /// One queue for all with known lengths; the bound.
    Ideal,
    /// Reservations at this many sides.
    Late(usize),
    Push(Pick),
}

/// A policy that is measured.
#[derive(Clone, Copy, Debug)]
#[allow(clippy::struct_excessive_bools)]
pub(crate) struct Plan {
    pub(crate) affinity: bool,
    pub(crate) name: &'static str,
    /// Whether sides watch the pace of their streams.
    pub(crate) pace: bool,
    pub(crate) queue: Settings,
    pub(crate) route: Route,
    pub(crate) spill: bool,
    pub(crate) widen: bool,
}

/// Name of the policy that the daemons use.
pub(crate) const CHOSEN: &str = "late d=3";

fn late(samples: usize, name: &'static str) -> Plan {
    Plan {
        affinity: true,
        name,
        pace: true,
        queue: Settings {
            slots: super::size::PLACES,
            ..Settings::default()
        },
        route: Route::Late(samples),
        spill: true,
        widen: true,
    }
}

fn push(pick: Pick, name: &'static str, tiers: bool) -> Plan {
    let plain = late(1, name);
    Plan {
        affinity: false,
        pace: false,
        queue: Settings {
            admission: false,
            fair: false,
            tiers,
            low_tier_slot: false,
            ..plain.queue
        },
        route: Route::Push(pick),
        spill: false,
        widen: false,
        ..plain
    }
}

fn without(name: &'static str, change: impl FnOnce(&mut Plan)) -> Plan {
    let mut plan = late(3, name);
    change(&mut plan);
    plan
}

/// All policies, baselines first.
pub(crate) fn all() -> Vec<Plan> {
    vec![
        push(Pick::RoundRobin, "round robin, fifo", false),
        push(Pick::RoundRobin, "round robin, tiers", true),
        push(Pick::LeastLoad, "least load, tiers", true),
        push(Pick::TwoChoices, "two choices, tiers", true),
        late(2, "late d=2"),
        late(3, CHOSEN),
        late(4, "late d=4"),
        without("d=3 no admission", |plan| plan.queue.admission = false),
        without("d=3 no fairness", |plan| plan.queue.fair = false),
        without("d=3 no trickle", |plan| plan.queue.low_tier_slot = false),
        without("d=3 no pace", |plan| plan.pace = false),
        without("d=3 no affinity", |plan| plan.affinity = false),
        without("d=3 no widening", |plan| plan.widen = false),
        without("d=3 no spill", |plan| plan.spill = false),
        Plan {
            route: Route::Ideal,
            ..late(1, "ideal bound")
        },
    ]
}
