//! Sides by pool and region, for routing.

use crate::members::Members;
use crate::sides::Sides;
use almondwell_core::{Directory, LinkBudget, Site};
use almondwell_schema::{EntrySettings, Instance, Role};
use arc_swap::ArcSwap;
use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Sides by pool and region, rebuilt when the membership or the instance list changes.
pub(crate) struct Directories {
    /// Bytes per second of the link between regions, shared by the entries of this region.
    link_rate: u64,
    region: Box<str>,
    link_budget: Mutex<LinkBudget>,
    view: ArcSwap<View>,
}

#[derive(Default)]
struct View {
    instances: Arc<Vec<Instance>>,
    pools: BTreeMap<Box<str>, Arc<Directory<SocketAddr>>>,
    sides: Arc<Sides>,
}

impl Directories {
    pub(crate) fn new(settings: &EntrySettings) -> Self {
        Self {
            link_rate: settings.link,
            region: settings.region.clone(),
            link_budget: Mutex::new(LinkBudget::new(settings.link)),
            view: ArcSwap::default(),
        }
    }

    /// The sides of `pool`; empty if none is known.
    pub(crate) fn pool(&self, members: &Members, pool: &str) -> Arc<Directory<SocketAddr>> {
        let sides = members.sides();
        let instances = members.instances();
        let view = self.view.load();
        let is_current =
            Arc::ptr_eq(&view.sides, &sides) && Arc::ptr_eq(&view.instances, &instances);
        if is_current {
            return view.pools.get(pool).cloned().unwrap_or_default();
        }
        let view = self.build(sides.clone(), instances);
        let directory = view.pools.get(pool).cloned().unwrap_or_default();
        self.view.store(Arc::new(view));
        directory
    }

    /// Locks this entry's byte budget for the link between regions. Don't hold the guard across an
    /// await.
    pub(crate) fn link_budget(&self) -> MutexGuard<'_, LinkBudget> {
        self.link_budget
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn build(&self, sides: Arc<Sides>, instances: Arc<Vec<Instance>>) -> View {
        let peers = instances
            .iter()
            .filter(|instance| instance.role == Role::Entry && instance.region == self.region)
            .count();
        self.link_budget()
            .set_rate(self.link_rate / peers.max(1) as u64);
        let pools = sides
            .pools()
            .map(|(pool, instances)| (pool.into(), Arc::new(self.directory(instances))))
            .collect();
        View {
            instances,
            pools,
            sides,
        }
    }

    fn directory(&self, instances: &[Instance]) -> Directory<SocketAddr> {
        let sites: Vec<_> = instances
            .iter()
            .map(|instance| Site {
                is_local: instance.region == self.region,
                side: instance.address,
            })
            .collect();
        Directory::new(&sites, address_hash)
    }
}

/// Hash of an address, the same at all entries.
fn address_hash(address: SocketAddr) -> u64 {
    let port = u64::from(address.port());
    match address.ip() {
        IpAddr::V4(ip) => u64::from(ip.to_bits()) << u16::BITS | port,
        IpAddr::V6(ip) => ip.segments().into_iter().fold(port, |hash, segment| {
            hash.rotate_left(7) ^ u64::from(segment)
        }),
    }
}
