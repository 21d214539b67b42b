//! Which sides an entry may ask for a place.
//!
//! The instance list says who may exist, and it lags. What a side itself says comes first: that it
//! is leaving, that it runs anew, or nothing at all. Silence only ever stops reservations; nothing
//! that must hold depends on it.

use crate::membership_pulse::Pulse;
use almondwell_schema::{Epoch, Instance, Role};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Times of a membership.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Settings {
    /// Silence after a reservation until the side is probed.
    pub doubt: Duration,
    /// Silence after a reservation until the side is asked for no more places.
    pub lease: Duration,
    /// Time between the first probes of a silent side; it doubles.
    pub probe: Duration,
    /// Longest time between probes of a silent or leaving side.
    pub probe_max: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            doubt: Duration::from_millis(150),
            lease: Duration::from_millis(400),
            probe: Duration::from_millis(100),
            probe_max: Duration::from_secs(1),
        }
    }
}

/// How a side stands.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Standing {
    /// It takes no new work.
    Leaving,
    /// It answers, or has not been asked.
    Live,
    /// It has not answered within its lease.
    Suspect,
}

/// A side that may be asked.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// Its line of the instance list.
    pub instance: Instance,
    /// What is known of its answers.
    pub pulse: Arc<Pulse>,
}

/// Sides that the instance list shows, and how each stands.
#[derive(Clone, Debug, Default)]
pub struct Membership {
    members: BTreeMap<SocketAddr, Member>,
    settings: Settings,
}

#[derive(Clone, Debug)]
struct Member {
    instance: Instance,
    probe: Duration,
    probed: Option<Duration>,
    pulse: Arc<Pulse>,
    standing: Standing,
}

impl Membership {
    /// A membership without sides.
    pub fn new(settings: Settings) -> Self {
        Self {
            members: BTreeMap::new(),
            settings,
        }
    }

    /// Takes over an instance list; returns whether candidates have changed.
    pub fn list(&mut self, instances: &[Instance]) -> bool {
        let mut lines: BTreeMap<SocketAddr, &Instance> = BTreeMap::new();
        for instance in instances.iter().filter(|line| line.role == Role::Side) {
            let line = lines.entry(instance.address).or_insert(instance);
            // Two lines of one address: the old one lags behind its replacement.
            if line.leaving && !instance.leaving {
                *line = instance;
            }
        }
        let before = self.members.len();
        self.members
            .retain(|address, _| lines.contains_key(address));
        let mut is_changed = self.members.len() != before;
        for (address, line) in lines {
            is_changed |= self.take_line(address, line);
        }
        is_changed
    }

    /// Notes that the run `epoch` of a side has answered; returns whether candidates have changed.
    pub fn heard(&mut self, address: SocketAddr, epoch: Epoch) -> bool {
        let Some(member) = self.members.get_mut(&address) else {
            return false;
        };
        let is_new = member.pulse.epoch().is_some_and(|known| known != epoch);
        member.pulse.heard(epoch);
        if member.standing == Standing::Leaving && !is_new {
            return false;
        }
        member.probe = self.settings.probe;
        member.probed = None;
        let standing = Standing::Live;
        std::mem::replace(&mut member.standing, standing) != standing
    }

    /// Notes that the run `epoch` of a side takes no new work; returns whether candidates have
    /// changed.
    pub fn leaving(&mut self, address: SocketAddr, epoch: Epoch) -> bool {
        let Some(member) = self.members.get_mut(&address) else {
            return false;
        };
        member.pulse.heard(epoch);
        std::mem::replace(&mut member.standing, Standing::Leaving) != Standing::Leaving
    }

    /// Finds silent sides; returns whether candidates have changed and which sides to probe.
    pub fn check(&mut self, now: Duration) -> (bool, Vec<SocketAddr>) {
        let settings = self.settings;
        let mut is_changed = false;
        let mut probes = Vec::new();
        for (address, member) in &mut self.members {
            let silence = member.pulse.silence(now);
            if member.standing == Standing::Live && silence >= settings.lease {
                member.standing = Standing::Suspect;
                is_changed = true;
            }
            if member.wants_probe(now, silence, settings) {
                probes.push(*address);
            }
        }
        (is_changed, probes)
    }

    /// How the side at `address` stands, if the instance list shows it.
    pub fn standing(&self, address: SocketAddr) -> Option<Standing> {
        self.members.get(&address).map(|member| member.standing)
    }

    /// Sides that may be asked, with how they stand; leaving ones are left out.
    pub fn candidates(&self) -> impl Iterator<Item = (Standing, Candidate)> {
        self.members
            .values()
            .filter(|member| member.standing != Standing::Leaving)
            .map(|member| {
                let candidate = Candidate {
                    instance: member.instance.clone(),
                    pulse: member.pulse.clone(),
                };
                (member.standing, candidate)
            })
    }

    /// Number of sides, by how they stand.
    pub fn counts(&self) -> BTreeMap<Standing, usize> {
        let mut counts = BTreeMap::new();
        for member in self.members.values() {
            *counts.entry(member.standing).or_default() += 1;
        }
        counts
    }

    fn take_line(&mut self, address: SocketAddr, line: &Instance) -> bool {
        let probe = self.settings.probe;
        match self.members.get_mut(&address) {
            Some(member) if member.instance.id == line.id => member.update(line),
            Some(_) | None => {
                self.members.insert(address, Member::new(line, probe));
                true
            }
        }
    }
}

impl Member {
    fn new(line: &Instance, probe: Duration) -> Self {
        let standing = if line.leaving {
            Standing::Leaving
        } else {
            Standing::Live
        };
        Self {
            instance: line.clone(),
            probe,
            probed: None,
            pulse: Arc::default(),
            standing,
        }
    }

    fn update(&mut self, line: &Instance) -> bool {
        if self.instance == *line {
            return false;
        }
        // Only the change counts: a new run may have spoken since, and a side that says itself
        // that it is leaving is not brought back by a list that lags.
        if line.leaving && !self.instance.leaving {
            self.standing = Standing::Leaving;
        }
        if !line.leaving && self.instance.leaving {
            self.standing = Standing::Live;
        }
        self.instance = line.clone();
        true
    }

    fn wants_probe(&mut self, now: Duration, silence: Duration, settings: Settings) -> bool {
        let is_due = self
            .probed
            .is_none_or(|probed| now.saturating_sub(probed) >= self.probe);
        let is_wanted = match self.standing {
            Standing::Leaving => self.pulse.epoch().is_some(),
            Standing::Suspect => true,
            Standing::Live => silence >= settings.doubt,
        };
        if !is_due || !is_wanted {
            return false;
        }
        let is_first = self.probed.is_none();
        self.probed = Some(now);
        if !is_first {
            self.probe = (self.probe * 2).min(settings.probe_max);
        }
        true
    }
}
