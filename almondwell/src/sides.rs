//! Immutable snapshot of the sides that requests may be sent to.

use almondwell_core::membership::{Candidate, State};
use almondwell_core::{Liveness, Membership, subset};
use almondwell_schema::{Epoch, Instance};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

/// Sides of one pool that an entry sends requests to, except calls bound to one side by their key.
const MAX_POOL_SIDES: usize = 64;

/// Sides by pool, in subsets of at most `MAX_POOL_SIDES`.
#[derive(Debug, Default)]
pub(crate) struct Sides {
    /// All sides by pool, including those beyond `MAX_POOL_SIDES`.
    all: BTreeMap<Box<str>, Vec<Member>>,
    live: BTreeMap<SocketAddr, Arc<Liveness>>,
    pools: BTreeMap<Box<str>, Vec<Instance>>,
    suspects: BTreeMap<SocketAddr, Arc<Liveness>>,
}

/// A side of a pool, as ranked for calls that are bound to one side by their key.
#[derive(Clone, Debug)]
pub(crate) struct Member {
    pub(crate) address: SocketAddr,
    pub(crate) id: Box<str>,
    pub(crate) state: State,
}

impl Sides {
    pub(crate) fn new(entry_id: &str, membership: &Membership) -> Self {
        let mut sides = Self::default();
        let mut live: BTreeMap<Box<str>, Vec<Candidate>> = BTreeMap::new();
        let mut suspects: BTreeMap<Box<str>, Vec<Candidate>> = BTreeMap::new();
        for (state, candidate) in membership.candidates() {
            let pools = match state {
                State::Leaving => continue,
                State::Live => &mut live,
                State::Suspect => &mut suspects,
            };
            let pool = candidate.instance.pool.clone();
            let member = Member {
                address: candidate.instance.address,
                id: candidate.instance.id.clone(),
                state,
            };
            sides.all.entry(pool.clone()).or_default().push(member);
            pools.entry(pool).or_default().push(candidate);
        }
        for (pool, candidates) in live {
            sides.add_pool(entry_id, pool, candidates, State::Live);
        }
        // If no side of a pool answers, trying those suspected dead is better than refusing.
        for (pool, candidates) in suspects {
            sides.add_pool(entry_id, pool, candidates, State::Suspect);
        }
        sides
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.pools.is_empty()
    }

    /// Pools and the sides of each that requests may be sent to, at most `MAX_POOL_SIDES`.
    pub(crate) fn pools(&self) -> impl Iterator<Item = (&str, &[Instance])> {
        self.pools
            .iter()
            .map(|(pool, instances)| (&**pool, instances.as_slice()))
    }

    /// All sides of `pool` that are not leaving; the same at each entry, unlike the subsets.
    pub(crate) fn all(&self, pool: &str) -> &[Member] {
        self.all.get(pool).map_or(&[], Vec::as_slice)
    }

    /// Liveness record of the side at `address`.
    pub(crate) fn liveness(&self, address: SocketAddr) -> Option<&Liveness> {
        self.live
            .get(&address)
            .or_else(|| self.suspects.get(&address))
            .map(|liveness| &**liveness)
    }

    /// Records an answer from a live side whose epoch is unchanged; otherwise returns `false`, and
    /// the membership must be updated.
    pub(crate) fn record_answer(&self, address: SocketAddr, epoch: Epoch) -> bool {
        match self.live.get(&address) {
            Some(liveness) if liveness.epoch() == Some(epoch) => {
                liveness.record_answer(epoch);
                true
            }
            Some(_) | None => false,
        }
    }

    fn add_pool(
        &mut self,
        entry_id: &str,
        pool: Box<str>,
        candidates: Vec<Candidate>,
        state: State,
    ) {
        let candidates = subset(entry_id, candidates, MAX_POOL_SIDES, |candidate| {
            &candidate.instance.id
        });
        let by_address = match state {
            State::Live => &mut self.live,
            State::Leaving | State::Suspect => &mut self.suspects,
        };
        for candidate in &candidates {
            by_address.insert(candidate.instance.address, candidate.liveness.clone());
        }
        self.pools.entry(pool).or_insert_with(|| {
            candidates
                .into_iter()
                .map(|candidate| candidate.instance)
                .collect()
        });
    }
}
