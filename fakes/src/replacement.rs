//! Replaces processes of a set, as a platform does.

use crate::process::{Process, free_address};
use crate::set::{Set, instance, wait_ready};
use almondwell_schema::{Instance, Role};
use eyre::Result;

/// Where a replacement listens.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Place {
    /// At addresses of its own.
    New,
    /// At the addresses of the process it replaces.
    Same,
}

const PLAIN_PLACES: u32 = 16;

impl Set {
    /// The line of the side `index` in the instance list.
    pub fn side_line(&self, index: usize) -> Instance {
        let upstream = &self.upstreams[index];
        let address = upstream.control;
        instance(&upstream.id, Role::Side, &upstream.pool, address)
    }

    /// Ends the side `index`, if it still runs, and starts the side `id` before the same upstream.
    pub async fn replace_side(&mut self, index: usize, id: &str, place: Place) -> Result<()> {
        self.upstreams[index].side.kill();
        let old = self.upstreams[index].id.clone();
        let side = self.succeed_side(index, id, place).await?;
        drop(side);
        if old != id {
            self.unregister(&old).await?;
        }
        Ok(())
    }

    /// Starts the side `id` before the upstream of the side `index`; returns the old side, which
    /// is left alone, also in the instance list.
    pub async fn succeed_side(&mut self, index: usize, id: &str, place: Place) -> Result<Process> {
        let upstream = &self.upstreams[index];
        let [control, admin] = match place {
            Place::New => [free_address()?, free_address()?],
            Place::Same => [upstream.control, upstream.admin],
        };
        let places = match upstream.pool.as_str() {
            "orders" => PLAIN_PLACES,
            _ => self.settings.batch,
        };
        let addresses = [control, admin, upstream.address];
        let side = self.start_side(id, &upstream.pool, addresses, places)?;
        wait_ready(admin, "/live").await?;
        let upstream = &mut self.upstreams[index];
        let old = std::mem::replace(&mut upstream.side, side);
        upstream.control = control;
        upstream.admin = admin;
        upstream.id = id.to_string();
        self.register(&self.side_line(index)).await?;
        Ok(old)
    }

    /// Ends the entry `index`, if it still runs, and starts another under the same id.
    pub async fn replace_entry(&mut self, index: usize, place: Place) -> Result<()> {
        self.entries[index].process.kill();
        let entry = &self.entries[index];
        let addresses = match place {
            Place::New => [free_address()?, free_address()?, free_address()?],
            Place::Same => [entry.callers, entry.control, entry.admin],
        };
        let id = entry.id.clone();
        self.entries[index] = self.start_entry(&id, addresses).await?;
        Ok(())
    }
}
