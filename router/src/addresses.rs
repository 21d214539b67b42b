//! Addresses that a router needs to serve.

use almondwell_daemon::{Unbound, listen};
use almondwell_schema::RouterSettings;
use almondwell_wire::{Seal, Socket};
use async_std::net::TcpListener;

/// Bound addresses.
pub(crate) struct Addresses {
    pub(crate) callers: TcpListener,
    pub(crate) peers: TcpListener,
    pub(crate) ready: TcpListener,
    /// Socket for datagrams between entries.
    pub(crate) socket: Socket,
}

impl Addresses {
    /// Binds all of them or none: callers and the readiness check find a closed port until the router can serve.
    pub(crate) async fn bind(settings: &RouterSettings) -> Result<Self, Unbound> {
        let address = settings.control;
        let peers = listen("control", address).await?;
        let socket = Socket::bind(address, Seal::new(&settings.secret)).await;
        let socket = socket.map_err(|error| Unbound {
            address,
            error: error.into(),
            key: "control",
        })?;
        Ok(Self {
            callers: listen("callers", settings.callers).await?,
            peers,
            ready: listen("ready", settings.ready).await?,
            socket,
        })
    }
}
