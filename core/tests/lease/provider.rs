//! The provider, which checks the invariants.

use crate::world::World;
use almondwell_core::lease::Number;
use almondwell_schema::LeaseReport;
use std::collections::BTreeMap;

/// A call on its way to the provider.
#[derive(Clone, Debug)]
pub(crate) struct Act {
    /// Whether the process that made the call still runs.
    pub(crate) has_sender: bool,
    pub(crate) number: Number,
    pub(crate) process: usize,
    pub(crate) report: Option<LeaseReport>,
    pub(crate) sent_at: u32,
}

#[derive(Clone, Debug, Default)]
pub(crate) struct Provider {
    /// Latest calls in order, with the time of each.
    pub(crate) acts: Vec<(usize, u32)>,
    pub(crate) highest: Number,
    /// Machine that sent each number.
    pub(crate) owners: BTreeMap<Number, usize>,
    pub(crate) reports: BTreeMap<u64, LeaseReport>,
}

impl World {
    /// Handles a call at the provider; returns whether it was accepted, or the invariant that it violates.
    pub(crate) fn accept(&mut self, act: Act, is_fenced: bool) -> Result<bool, String> {
        let provider = &mut self.provider;
        if act.number < provider.highest {
            if is_fenced {
                return Ok(false);
            }
            return Err(format!("number {} after {}", act.number, provider.highest));
        }
        provider.highest = act.number;
        let owner = *provider.owners.entry(act.number).or_insert(act.process);
        if owner != act.process {
            return Err(format!("number {} of two holders", act.number));
        }
        // All acts within the lease are kept.
        let others = provider
            .acts
            .iter()
            .rposition(|(other, _)| *other != act.process);
        let is_return = others.is_some_and(|position| {
            provider.acts[..position]
                .iter()
                .any(|(other, _)| *other == act.process)
        });
        if is_return {
            return Err(format!("holders {:?}, then {}", provider.acts, act.process));
        }
        let latest = (act.process, self.now);
        if provider.acts.last() != Some(&latest) {
            provider.acts.push(latest);
        }
        if let Some(report) = act.report {
            let window = report.window;
            let earlier = provider
                .reports
                .entry(window)
                .or_insert_with(|| report.clone());
            if *earlier != report {
                return Err(format!("two reports of window {window}"));
            }
        }
        Ok(true)
    }
}
