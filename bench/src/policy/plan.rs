//! Routing policies under test.

use almondwell_core::Settings;

/// How a push policy picks the only side that it asks.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Pick {
    LeastLoad,
    RoundRobin,
    TwoChoices,
}

/// How a call finds its side.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Route {
    /// One queue for all upstreams with known service times; the upper bound.
    Ideal,
    /// Late binding with samples of this many sides: the call runs at the first side that grants a slot.
    Late(usize),
    /// One side, picked on arrival.
    Push(Pick),
}

/// A routing policy under test.
#[derive(Clone, Copy, Debug)]
#[allow(clippy::struct_excessive_bools)]
pub(crate) struct Plan {
    /// Whether calls that share a prefix prefer the same side.
    pub(crate) affinity: bool,
    pub(crate) name: &'static str,
    /// Whether sides report tokens to their queue, which tracks the pace of streams.
    pub(crate) pace: bool,
    pub(crate) queue: Settings,
    pub(crate) route: Route,
    /// Whether entries may use the link between regions.
    pub(crate) cross_region: bool,
    /// Whether an entry asks further sides after a refusal.
    pub(crate) widen: bool,
}

/// Name of the policy that entries and sides use in production.
pub(crate) const PRODUCTION_PLAN: &str = "late d=3";

/// A late-binding policy with samples of `samples` sides and all features on.
fn late(samples: usize, name: &'static str) -> Plan {
    Plan {
        affinity: true,
        name,
        pace: true,
        queue: Settings {
            slots: super::size::SLOTS,
            ..Settings::default()
        },
        route: Route::Late(samples),
        cross_region: true,
        widen: true,
    }
}

/// A baseline that picks one side on arrival and has the other features off.
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
        cross_region: false,
        widen: false,
        ..plain
    }
}

/// The production policy with a change, to measure the effect of one feature.
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
        late(3, PRODUCTION_PLAN),
        late(4, "late d=4"),
        without("d=3 no admission", |plan| plan.queue.admission = false),
        without("d=3 no fairness", |plan| plan.queue.fair = false),
        without("d=3 no trickle", |plan| plan.queue.low_tier_slot = false),
        without("d=3 no pace", |plan| plan.pace = false),
        without("d=3 no affinity", |plan| plan.affinity = false),
        without("d=3 no widening", |plan| plan.widen = false),
        without("d=3 no spill", |plan| plan.cross_region = false),
        Plan {
            route: Route::Ideal,
            ..late(1, "ideal bound")
        },
    ]
}
