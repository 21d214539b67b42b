//! Proxy that forwards TCP and UDP on one port and delays, cuts, freezes, drops and slows each way.

mod faults;
mod tcp;
mod udp;
mod way;

use crate::process::free_address;
use crate::server::{Flags, address, flag, json, listen, status};
use async_std::net::{TcpListener, UdpSocket};
use async_std::task::{self, JoinHandle};
use eyre::Result;
use http_types::{Request, Response, StatusCode};
use serde_json::json;
use std::net::SocketAddr;
use std::sync::Arc;

pub use faults::{Fault, Faults};

use way::Way;

/// Command line of the proxy.
#[derive(Clone, Copy)]
pub struct Settings {
    /// Address it listens on.
    pub address: SocketAddr,
    /// Address of its control page.
    pub control: SocketAddr,
    /// Seed of its jitter and drops.
    pub seed: u64,
    /// Address it connects to.
    pub target: SocketAddr,
}

impl Settings {
    /// Reads the flags.
    pub fn read(flags: &Flags) -> Result<Self> {
        Ok(Self {
            address: address(flags, "address")?,
            control: address(flags, "control")?,
            seed: flag(flags, "seed", 0)?,
            target: address(flags, "target")?,
        })
    }
}

/// Both ways between clients and the target.
pub(crate) struct Ways {
    /// From the target to clients.
    pub(crate) backward: Arc<Way>,
    /// From clients to the target.
    pub(crate) forward: Arc<Way>,
}

impl Ways {
    /// The same ways, as the target sees them.
    fn reversed(&self) -> Self {
        Self {
            backward: self.forward.clone(),
            forward: self.backward.clone(),
        }
    }
}

/// A running proxy; it ends when dropped.
pub struct Proxy {
    address: SocketAddr,
    tasks: Vec<JoinHandle<()>>,
    ways: Arc<Ways>,
}

impl Proxy {
    /// Forwards TCP and UDP from `address` to `target`.
    pub async fn start(address: SocketAddr, target: SocketAddr, seed: u64) -> Result<Self> {
        let ways = Arc::new(Ways {
            backward: Arc::new(Way::new(seed)),
            forward: Arc::new(Way::new(seed.wrapping_add(1))),
        });
        let listener = TcpListener::bind(address).await?;
        let socket = UdpSocket::bind(address).await?;
        let tasks = vec![
            task::spawn(tcp::accept(listener, target, ways.clone())),
            task::spawn(udp::forward(socket, target, ways.clone())),
        ];
        Ok(Self {
            address,
            tasks,
            ways,
        })
    }

    /// Forwards from a free loopback address to `target`.
    pub async fn before(target: SocketAddr, seed: u64) -> Result<Self> {
        Self::start(free_address()?, target, seed).await
    }

    /// Address it listens on.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Bytes passed on, both ways.
    pub fn bytes(&self) -> u64 {
        self.ways.backward.bytes() + self.ways.forward.bytes()
    }

    /// Datagrams dropped, both ways.
    pub fn dropped(&self) -> u64 {
        self.ways.backward.dropped() + self.ways.forward.dropped()
    }

    /// Replaces the faults of both ways.
    pub fn set(&self, faults: Faults) {
        self.ways.backward.set(faults.backward());
        self.ways.forward.set(faults.forward());
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        for handle in self.tasks.drain(..) {
            task::spawn(handle.cancel());
        }
        self.ways.backward.set(Fault::CUT);
        self.ways.forward.set(Fault::CUT);
    }
}

/// Serves until the process ends.
pub async fn serve(settings: Settings) -> Result<()> {
    let proxy = Proxy::start(settings.address, settings.target, settings.seed).await?;
    let proxy = Arc::new(proxy);
    listen(settings.control, move |request| {
        let proxy = proxy.clone();
        async move { handle(&proxy, request).await }
    })
    .await
}

async fn handle(proxy: &Proxy, mut request: Request) -> http_types::Result<Response> {
    if request.url().path() == "/counts" {
        return Ok(json(
            &json!({ "bytes": proxy.bytes(), "dropped": proxy.dropped() }),
        ));
    }
    proxy.set(request.body_json().await?);
    Ok(status(StatusCode::Ok))
}
