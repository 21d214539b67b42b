//! Which sides an entry may send reservations to.
//!
//! The instance list names the sides that may exist, and it lags. What a side itself reports takes
//! precedence: that it is leaving or has restarted. A side that does not answer is suspected, which
//! only ever stops reservations; no safety property depends on it.

use crate::membership_liveness::Liveness;
use almondwell_schema::{Epoch, Instance, Role};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Timeouts of a membership.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Settings {
    /// Time without an answer to a reservation after which the side is probed.
    pub probe_after: Duration,
    /// Time without an answer to a reservation after which the side gets no more reservations.
    pub lease: Duration,
    /// Time between the first two probes of an unresponsive side; it doubles after each further probe.
    pub probe_interval: Duration,
    /// Maximum time between probes of an unresponsive or leaving side.
    pub max_probe_interval: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            probe_after: Duration::from_millis(150),
            lease: Duration::from_millis(400),
            probe_interval: Duration::from_millis(100),
            max_probe_interval: Duration::from_secs(1),
        }
    }
}

/// State of a side.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum State {
    /// The side takes no new work.
    Leaving,
    /// The side answers, or has not been asked anything.
    Live,
    /// The side has not answered within `Settings::lease`.
    Suspect,
}

/// A side that reservations may be sent to.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// The side's record in the instance list.
    pub instance: Instance,
    /// Whether the side answers, shared by all requests.
    pub liveness: Arc<Liveness>,
}

/// Sides in the instance list, with the state of each.
#[derive(Clone, Debug, Default)]
pub struct Membership {
    members: BTreeMap<SocketAddr, Member>,
    settings: Settings,
}

#[derive(Clone, Debug)]
struct Member {
    instance: Instance,
    probe_interval: Duration,
    probed_at: Option<Duration>,
    liveness: Arc<Liveness>,
    state: State,
}

impl Membership {
    /// Creates a membership without sides.
    pub fn new(settings: Settings) -> Self {
        Self {
            members: BTreeMap::new(),
            settings,
        }
    }

    /// Applies an instance list; returns whether candidates have changed.
    pub fn apply_list(&mut self, instances: &[Instance]) -> bool {
        let mut listed: BTreeMap<SocketAddr, &Instance> = BTreeMap::new();
        for instance in instances
            .iter()
            .filter(|instance| instance.role == Role::Side)
        {
            let current = listed.entry(instance.address).or_insert(instance);
            // Two instances at one address: the leaving one has been replaced by the other.
            if current.leaving && !instance.leaving {
                *current = instance;
            }
        }
        let before = self.members.len();
        self.members
            .retain(|address, _| listed.contains_key(address));
        let mut is_changed = self.members.len() != before;
        for (address, instance) in listed {
            is_changed |= self.update_member(address, instance);
        }
        is_changed
    }

    /// Records an answer from the incarnation `epoch` of a side; returns whether candidates have
    /// changed.
    pub fn record_answer(&mut self, address: SocketAddr, epoch: Epoch) -> bool {
        let Some(member) = self.members.get_mut(&address) else {
            return false;
        };
        let is_new_incarnation = member.liveness.epoch().is_some_and(|known| known != epoch);
        member.liveness.record_answer(epoch);
        if member.state == State::Leaving && !is_new_incarnation {
            return false;
        }
        member.probe_interval = self.settings.probe_interval;
        member.probed_at = None;
        let state = State::Live;
        std::mem::replace(&mut member.state, state) != state
    }

    /// Records that the incarnation `epoch` of a side takes no new work; returns whether candidates have
    /// changed.
    pub fn record_leaving(&mut self, address: SocketAddr, epoch: Epoch) -> bool {
        let Some(member) = self.members.get_mut(&address) else {
            return false;
        };
        member.liveness.record_answer(epoch);
        std::mem::replace(&mut member.state, State::Leaving) != State::Leaving
    }

    /// Suspects sides that do not answer; returns whether candidates have changed and which sides to
    /// probe.
    pub fn check(&mut self, now: Duration) -> (bool, Vec<SocketAddr>) {
        let settings = self.settings;
        let mut is_changed = false;
        let mut probes = Vec::new();
        for (address, member) in &mut self.members {
            let unanswered_for = member.liveness.unanswered_for(now);
            if member.state == State::Live && unanswered_for >= settings.lease {
                member.state = State::Suspect;
                is_changed = true;
            }
            if member.is_probe_due(now, unanswered_for, settings) {
                probes.push(*address);
            }
        }
        (is_changed, probes)
    }

    /// State of the side at `address`; `None` if the instance list does not name it.
    pub fn state(&self, address: SocketAddr) -> Option<State> {
        self.members.get(&address).map(|member| member.state)
    }

    /// Sides that reservations may be sent to, with their states; leaving sides are left out.
    pub fn candidates(&self) -> impl Iterator<Item = (State, Candidate)> {
        self.members
            .values()
            .filter(|member| member.state != State::Leaving)
            .map(|member| {
                let candidate = Candidate {
                    instance: member.instance.clone(),
                    liveness: member.liveness.clone(),
                };
                (member.state, candidate)
            })
    }

    /// Number of sides by state.
    pub fn counts(&self) -> BTreeMap<State, usize> {
        let mut counts = BTreeMap::new();
        for member in self.members.values() {
            *counts.entry(member.state).or_default() += 1;
        }
        counts
    }

    fn update_member(&mut self, address: SocketAddr, instance: &Instance) -> bool {
        let probe_interval = self.settings.probe_interval;
        match self.members.get_mut(&address) {
            Some(member) if member.instance.id == instance.id => member.update(instance),
            Some(_) | None => {
                self.members
                    .insert(address, Member::new(instance, probe_interval));
                true
            }
        }
    }
}

impl Member {
    fn new(instance: &Instance, probe_interval: Duration) -> Self {
        let state = if instance.leaving {
            State::Leaving
        } else {
            State::Live
        };
        Self {
            instance: instance.clone(),
            probe_interval,
            probed_at: None,
            liveness: Arc::default(),
            state,
        }
    }

    fn update(&mut self, instance: &Instance) -> bool {
        if self.instance == *instance {
            return false;
        }
        // Only a change in the list counts: a new incarnation may have answered since the list was
        // made, and a list that lags must not make a side live that reported that it is leaving.
        if instance.leaving && !self.instance.leaving {
            self.state = State::Leaving;
        }
        if !instance.leaving && self.instance.leaving {
            self.state = State::Live;
        }
        self.instance = instance.clone();
        true
    }

    fn is_probe_due(
        &mut self,
        now: Duration,
        unanswered_for: Duration,
        settings: Settings,
    ) -> bool {
        let is_interval_over = self
            .probed_at
            .is_none_or(|probed_at| now.saturating_sub(probed_at) >= self.probe_interval);
        let needs_probe = match self.state {
            State::Leaving => self.liveness.epoch().is_some(),
            State::Suspect => true,
            State::Live => unanswered_for >= settings.probe_after,
        };
        if !is_interval_over || !needs_probe {
            return false;
        }
        let is_first = self.probed_at.is_none();
        self.probed_at = Some(now);
        if !is_first {
            self.probe_interval = (self.probe_interval * 2).min(settings.max_probe_interval);
        }
        true
    }
}
