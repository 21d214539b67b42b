//! The sides that requests may be sent to, as one immutable view.

use almondwell_core::membership::{Candidate, Standing};
use almondwell_core::{Membership, Pulse, subset};
use almondwell_schema::{Epoch, Instance};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

/// Most sides of one pool that an entry deals with.
const POOL_LIMIT: usize = 64;

/// Sides by pool.
#[derive(Debug, Default)]
pub(crate) struct Sides {
    /// All sides by pool, also those past the limit.
    all: BTreeMap<Box<str>, Vec<Ranked>>,
    live: BTreeMap<SocketAddr, Arc<Pulse>>,
    pools: BTreeMap<Box<str>, Vec<Instance>>,
    suspects: BTreeMap<SocketAddr, Arc<Pulse>>,
}

/// A side as calls that one side must serve see it.
#[derive(Clone, Debug)]
pub(crate) struct Ranked {
    pub(crate) address: SocketAddr,
    pub(crate) id: Box<str>,
    pub(crate) standing: Standing,
}

impl Sides {
    pub(crate) fn new(owner: &str, membership: &Membership) -> Self {
        let mut sides = Self::default();
        let mut live: BTreeMap<Box<str>, Vec<Candidate>> = BTreeMap::new();
        let mut suspects: BTreeMap<Box<str>, Vec<Candidate>> = BTreeMap::new();
        for (standing, candidate) in membership.candidates() {
            let pools = match standing {
                Standing::Leaving => continue,
                Standing::Live => &mut live,
                Standing::Suspect => &mut suspects,
            };
            let pool = candidate.instance.pool.clone();
            let ranked = Ranked {
                address: candidate.instance.address,
                id: candidate.instance.id.clone(),
                standing,
            };
            sides.all.entry(pool.clone()).or_default().push(ranked);
            pools.entry(pool).or_default().push(candidate);
        }
        for (pool, candidates) in live {
            sides.add_pool(owner, pool, candidates, Standing::Live);
        }
        // Where all sides are silent, asking one of them beats refusing.
        for (pool, candidates) in suspects {
            sides.add_pool(owner, pool, candidates, Standing::Suspect);
        }
        sides
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.pools.is_empty()
    }

    /// Sides by the pool of their upstreams.
    pub(crate) fn pools(&self) -> impl Iterator<Item = (&str, &[Instance])> {
        self.pools
            .iter()
            .map(|(pool, instances)| (&**pool, instances.as_slice()))
    }

    /// All sides before the upstreams of `pool` that are not leaving; each entry sees the same ones.
    pub(crate) fn all(&self, pool: &str) -> &[Ranked] {
        self.all.get(pool).map_or(&[], Vec::as_slice)
    }

    /// What is known of the answers of the side at `address`.
    pub(crate) fn pulse(&self, address: SocketAddr) -> Option<&Pulse> {
        self.live
            .get(&address)
            .or_else(|| self.suspects.get(&address))
            .map(|pulse| &**pulse)
    }

    /// Notes an answer of a live side's known run; `false` when the answer changes more than that.
    pub(crate) fn heard(&self, address: SocketAddr, epoch: Epoch) -> bool {
        match self.live.get(&address) {
            Some(pulse) if pulse.epoch() == Some(epoch) => {
                pulse.heard(epoch);
                true
            }
            Some(_) | None => false,
        }
    }

    fn add_pool(
        &mut self,
        owner: &str,
        pool: Box<str>,
        candidates: Vec<Candidate>,
        standing: Standing,
    ) {
        let candidates = subset(owner, candidates, POOL_LIMIT, |candidate| {
            &candidate.instance.id
        });
        let pulses = match standing {
            Standing::Live => &mut self.live,
            Standing::Leaving | Standing::Suspect => &mut self.suspects,
        };
        for candidate in &candidates {
            pulses.insert(candidate.instance.address, candidate.pulse.clone());
        }
        self.pools.entry(pool).or_insert_with(|| {
            candidates
                .into_iter()
                .map(|candidate| candidate.instance)
                .collect()
        });
    }
}
