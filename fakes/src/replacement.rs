//! Replacement of processes in a set, as a platform does it.

use crate::process::{Process, free_address};
use crate::set::{Set, instance, wait_ready};
use almondwell_schema::{Instance, Role};
use eyre::Result;

/// Addresses at which a replacement listens.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Addresses {
    /// New free addresses.
    New,
    /// The addresses of the process it replaces.
    Same,
}

const ORDER_SERVICE_SLOTS: u32 = 16;

impl Set {
    /// Instance-list record of the side `index`.
    pub fn side_instance(&self, index: usize) -> Instance {
        let upstream = &self.upstreams[index];
        let address = upstream.control;
        instance(&upstream.id, Role::Side, &upstream.pool, address)
    }

    /// Kills the side `index` if it still runs, and starts the side `id` in front of the same
    /// upstream. If the ids differ, the old one is removed from the instance list.
    pub async fn replace_side(
        &mut self,
        index: usize,
        id: &str,
        addresses: Addresses,
    ) -> Result<()> {
        self.upstreams[index].side.kill();
        let old_id = self.upstreams[index].id.clone();
        let old_side = self.start_successor(index, id, addresses).await?;
        drop(old_side);
        if old_id != id {
            self.unregister(&old_id).await?;
        }
        Ok(())
    }

    /// Starts the side `id` in front of the upstream of the side `index`.
    ///
    /// Returns the old side, which keeps running and stays in the instance list.
    pub async fn start_successor(
        &mut self,
        index: usize,
        id: &str,
        addresses: Addresses,
    ) -> Result<Process> {
        let upstream = &self.upstreams[index];
        let [control, admin] = match addresses {
            Addresses::New => [free_address()?, free_address()?],
            Addresses::Same => [upstream.control, upstream.admin],
        };
        let slots = match upstream.pool.as_str() {
            "orders" => ORDER_SERVICE_SLOTS,
            _ => self.settings.batch,
        };
        let addresses = [control, admin, upstream.address];
        let side = self.start_side(id, &upstream.pool, addresses, slots)?;
        wait_ready(admin, "/live").await?;
        let upstream = &mut self.upstreams[index];
        let old = std::mem::replace(&mut upstream.side, side);
        upstream.control = control;
        upstream.admin = admin;
        upstream.id = id.to_string();
        self.register(&self.side_instance(index)).await?;
        Ok(old)
    }

    /// Kills the entry `index` if it still runs, and starts another under the same id.
    pub async fn replace_entry(&mut self, index: usize, addresses: Addresses) -> Result<()> {
        self.entries[index].process.kill();
        let entry = &self.entries[index];
        let addresses = match addresses {
            Addresses::New => [free_address()?, free_address()?, free_address()?],
            Addresses::Same => [entry.callers, entry.control, entry.admin],
        };
        let id = entry.id.clone();
        self.entries[index] = self.start_entry(&id, addresses).await?;
        Ok(())
    }
}
