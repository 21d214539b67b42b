//! HTTP server of the stand-ins.

use almondwell_daemon::gone;
use async_std::net::TcpListener;
use async_std::task;
use eyre::{Result, WrapErr, eyre};
use futures_lite::FutureExt;
use http_types::{Body, Request, Response, StatusCode};
use std::collections::BTreeMap;
use std::future::Future;
use std::net::SocketAddr;
use std::str::FromStr;

/// Flags of a stand-in's command line.
pub type Flags = BTreeMap<String, String>;

/// Reads `flag`, or `default` when it is absent.
pub fn flag<T: FromStr>(flags: &Flags, name: &str, default: T) -> Result<T> {
    match flags.get(name) {
        Some(text) => text
            .parse()
            .map_err(|_| eyre!("--{name} {text}: not a value of its type")),
        None => Ok(default),
    }
}

/// Reads the address in `flag`.
pub fn address(flags: &Flags, name: &str) -> Result<SocketAddr> {
    let text = flags
        .get(name)
        .ok_or_else(|| eyre!("--{name} is missing"))?;
    text.parse().wrap_err_with(|| format!("--{name} {text}"))
}

/// Serves `handle` on `address` until the process ends; a caller that leaves cancels its call.
pub async fn listen<H, F>(address: SocketAddr, handle: H) -> Result<()>
where
    H: Fn(Request) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = http_types::Result<Response>> + Send + 'static,
{
    let listener = TcpListener::bind(address).await?;
    loop {
        let (tcp, _) = listener.accept().await?;
        tcp.set_nodelay(true)?;
        let handle = handle.clone();
        task::spawn(async move {
            let serve = async {
                let _ = async_h1::accept(tcp.clone(), handle).await;
            };
            serve.or(gone(&tcp)).await;
        });
    }
}

/// An answer with a JSON body.
pub fn json(value: &serde_json::Value) -> Response {
    let mut response = Response::new(StatusCode::Ok);
    response.set_body(Body::from_string(value.to_string()));
    response.insert_header("Content-Type", "application/json");
    response
}

/// An answer with a status and no body.
pub fn status(code: StatusCode) -> Response {
    Response::new(code)
}
