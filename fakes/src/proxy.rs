//! TCP proxy that delays, cuts, freezes and slows connections.

use crate::server::{Flags, address, json, listen, status};
use async_std::io::{ReadExt, WriteExt};
use async_std::net::{Shutdown, TcpListener, TcpStream};
use async_std::task;
use eyre::Result;
use http_types::{Request, Response, StatusCode};
use serde::Deserialize;
use serde_json::json;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// Command line of the proxy.
#[derive(Clone, Copy)]
pub struct Settings {
    /// Address it listens on.
    pub address: SocketAddr,
    /// Address of its control page.
    pub control: SocketAddr,
    /// Address it connects to.
    pub target: SocketAddr,
}

impl Settings {
    /// Reads the flags.
    pub fn read(flags: &Flags) -> Result<Self> {
        Ok(Self {
            address: address(flags, "address")?,
            control: address(flags, "control")?,
            target: address(flags, "target")?,
        })
    }
}

/// Faults on all connections, `POST /control`.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(default)]
struct Faults {
    /// Closes connections and accepts no more.
    cut: bool,
    /// Delay of each piece in milliseconds.
    delay_ms: u64,
    /// Passes nothing on, and closes nothing.
    freeze: bool,
    /// Limit in bytes a second; 0 for none.
    bandwidth: u64,
}

struct Proxy {
    bytes: AtomicU64,
    faults: Mutex<Faults>,
}

impl Proxy {
    fn faults(&self) -> Faults {
        *self.faults.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Serves until the process ends.
pub async fn serve(settings: Settings) -> Result<()> {
    let proxy = Arc::new(Proxy {
        bytes: AtomicU64::new(0),
        faults: Mutex::default(),
    });
    let control = proxy.clone();
    task::spawn(listen(settings.control, move |request| {
        let proxy = control.clone();
        async move { handle(&proxy, request).await }
    }));
    let listener = TcpListener::bind(settings.address).await?;
    loop {
        let (inbound, _) = listener.accept().await?;
        let proxy = proxy.clone();
        task::spawn(async move {
            let _ = forward(&proxy, inbound, settings.target).await;
        });
    }
}

async fn handle(proxy: &Proxy, mut request: Request) -> http_types::Result<Response> {
    if request.url().path() == "/counts" {
        return Ok(json(
            &json!({ "bytes": proxy.bytes.load(Ordering::Relaxed) }),
        ));
    }
    let faults = request.body_json().await?;
    *proxy.faults.lock().unwrap_or_else(PoisonError::into_inner) = faults;
    Ok(status(StatusCode::Ok))
}

async fn forward(proxy: &Arc<Proxy>, inbound: TcpStream, target: SocketAddr) -> Result<()> {
    if proxy.faults().cut {
        return Ok(());
    }
    let outbound = TcpStream::connect(target).await?;
    inbound.set_nodelay(true)?;
    outbound.set_nodelay(true)?;
    task::spawn(pump(proxy.clone(), inbound.clone(), outbound.clone()));
    pump(proxy.clone(), outbound, inbound).await
}

async fn pump(proxy: Arc<Proxy>, mut from: TcpStream, mut to: TcpStream) -> Result<()> {
    const FAULT_PERIOD: Duration = Duration::from_millis(10);
    let mut buffer = vec![0; 16 << 10];
    loop {
        let read = match async_std::future::timeout(FAULT_PERIOD, from.read(&mut buffer)).await {
            Ok(read) => read.unwrap_or(0),
            Err(_) if proxy.faults().cut => 0,
            Err(_) => continue,
        };
        while proxy.faults().freeze {
            task::sleep(FAULT_PERIOD).await;
        }
        let faults = proxy.faults();
        if read == 0 || faults.cut {
            let _ = from.shutdown(Shutdown::Both);
            let _ = to.shutdown(Shutdown::Both);
            return Ok(());
        }
        task::sleep(Duration::from_millis(faults.delay_ms)).await;
        if let Some(nanos) = (read as u64 * 1_000_000_000).checked_div(faults.bandwidth) {
            task::sleep(Duration::from_nanos(nanos)).await;
        }
        to.write_all(&buffer[..read]).await?;
        proxy.bytes.fetch_add(read as u64, Ordering::Relaxed);
    }
}
