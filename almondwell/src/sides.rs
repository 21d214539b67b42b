//! The sides that the instance list shows.

use crate::entry::Entry;
use almondwell_schema::{Instance, Role};
use async_std::task;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Sides by pool.
#[derive(Debug, Default)]
pub(crate) struct Sides {
    pools: BTreeMap<Box<str>, Vec<Instance>>,
}

impl Sides {
    fn new(instances: Vec<Instance>) -> Self {
        let mut pools: BTreeMap<Box<str>, Vec<Instance>> = BTreeMap::new();
        for instance in instances {
            if instance.role == Role::Side && !instance.leaving {
                pools
                    .entry(instance.pool.clone())
                    .or_default()
                    .push(instance);
            }
        }
        Self { pools }
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.pools.is_empty()
    }

    /// Sides before the upstreams of `pool`.
    pub(crate) fn pool(&self, pool: &str) -> &[Instance] {
        self.pools.get(pool).map_or(&[], Vec::as_slice)
    }
}

/// Reads the instance list again and again; while it cannot be read, the last one stays.
pub(crate) async fn refresh(entry: &Entry) {
    loop {
        if let Ok(instances) = entry.instances.list().await {
            entry.sides.store(Arc::new(Sides::new(instances)));
        }
        task::sleep(entry.settings.refresh).await;
    }
}
