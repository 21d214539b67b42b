//! Fault-injecting proxy: forwards TCP and UDP on one port, and can delay, throttle, drop, freeze or
//! cut either direction.

mod direction;
mod faults;
mod tcp;
mod udp;

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

use direction::Direction;

/// Command line of the proxy.
#[derive(Clone, Copy)]
pub struct Settings {
    /// Listen address.
    pub address: SocketAddr,
    /// Listen address of the control page.
    pub control: SocketAddr,
    /// Seed of the jitter and drops.
    pub seed: u64,
    /// Address to which it forwards.
    pub target: SocketAddr,
}

impl Settings {
    /// Parses the flags.
    pub fn read(flags: &Flags) -> Result<Self> {
        Ok(Self {
            address: address(flags, "address")?,
            control: address(flags, "control")?,
            seed: flag(flags, "seed", 0)?,
            target: address(flags, "target")?,
        })
    }
}

/// Both directions between clients and the target.
pub(crate) struct Directions {
    /// From the target to clients.
    pub(crate) backward: Arc<Direction>,
    /// From clients to the target.
    pub(crate) forward: Arc<Direction>,
}

impl Directions {
    /// The same directions from the point of view of the target.
    fn reversed(&self) -> Self {
        Self {
            backward: self.forward.clone(),
            forward: self.backward.clone(),
        }
    }
}

/// A running proxy; dropping it stops it and cuts its connections.
pub struct Proxy {
    address: SocketAddr,
    tasks: Vec<JoinHandle<()>>,
    directions: Arc<Directions>,
}

impl Proxy {
    /// Forwards TCP and UDP from `address` to `target`.
    pub async fn start(address: SocketAddr, target: SocketAddr, seed: u64) -> Result<Self> {
        let directions = Arc::new(Directions {
            backward: Arc::new(Direction::new(seed)),
            forward: Arc::new(Direction::new(seed.wrapping_add(1))),
        });
        let listener = TcpListener::bind(address).await?;
        let socket = UdpSocket::bind(address).await?;
        let tasks = vec![
            task::spawn(tcp::accept(listener, target, directions.clone())),
            task::spawn(udp::forward(socket, target, directions.clone())),
        ];
        Ok(Self {
            address,
            tasks,
            directions,
        })
    }

    /// Forwards from a free loopback address to `target`.
    pub async fn in_front_of(target: SocketAddr, seed: u64) -> Result<Self> {
        Self::start(free_address()?, target, seed).await
    }

    /// Listen address.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Bytes forwarded, in both directions.
    pub fn bytes(&self) -> u64 {
        self.directions.backward.bytes() + self.directions.forward.bytes()
    }

    /// Datagrams dropped, in both directions.
    pub fn dropped(&self) -> u64 {
        self.directions.backward.dropped() + self.directions.forward.dropped()
    }

    /// Replaces the faults of both directions.
    pub fn set_faults(&self, faults: Faults) {
        self.directions.backward.set_fault(faults.backward());
        self.directions.forward.set_fault(faults.forward());
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        for handle in self.tasks.drain(..) {
            task::spawn(handle.cancel());
        }
        self.directions.backward.set_fault(Fault::CUT);
        self.directions.forward.set_fault(Fault::CUT);
    }
}

/// Forwards until the process ends, and serves the control page.
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
    proxy.set_faults(request.body_json().await?);
    Ok(status(StatusCode::Ok))
}
