//! HTTP server of the fakes.

use almondwell_daemon::disconnected;
use async_std::net::TcpListener;
use async_std::task;
use eyre::{Result, WrapErr, eyre};
use futures_lite::FutureExt;
use http_types::{Body, Request, Response, StatusCode};
use std::collections::BTreeMap;
use std::future::Future;
use std::net::SocketAddr;
use std::str::FromStr;

/// Command-line flags of a fake: values by name, without the leading dashes.
pub type Flags = BTreeMap<String, String>;

/// Parses the flag `name`; returns `default` when it is absent.
pub fn flag<T: FromStr>(flags: &Flags, name: &str, default: T) -> Result<T> {
    match flags.get(name) {
        Some(text) => text
            .parse()
            .map_err(|_| eyre!("--{name}: cannot parse `{text}`")),
        None => Ok(default),
    }
}

/// Parses the socket address in the required flag `name`.
pub fn address(flags: &Flags, name: &str) -> Result<SocketAddr> {
    let text = flags
        .get(name)
        .ok_or_else(|| eyre!("--{name} is missing"))?;
    text.parse()
        .wrap_err_with(|| format!("--{name}: cannot parse `{text}` as a socket address"))
}

/// Serves `handle` on `address` until the process ends; a call is cancelled when its caller
/// disconnects.
pub async fn listen<H, F>(address: SocketAddr, handle: H) -> Result<()>
where
    H: Fn(Request) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = http_types::Result<Response>> + Send + 'static,
{
    serve(TcpListener::bind(address).await?, handle).await
}

/// As [`listen`], on a socket that listens already.
pub async fn serve<H, F>(listener: TcpListener, handle: H) -> Result<()>
where
    H: Fn(Request) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = http_types::Result<Response>> + Send + 'static,
{
    loop {
        let (tcp, _) = listener.accept().await?;
        tcp.set_nodelay(true)?;
        let handle = handle.clone();
        task::spawn(async move {
            let serve = async {
                let _ = async_h1::accept(tcp.clone(), handle).await;
            };
            serve.or(disconnected(&tcp)).await;
        });
    }
}

/// Response with status 200 and a JSON body.
pub fn json(value: &serde_json::Value) -> Response {
    let mut response = Response::new(StatusCode::Ok);
    response.set_body(Body::from_string(value.to_string()));
    response.insert_header("Content-Type", "application/json");
    response
}

/// Response without a body.
pub fn status(code: StatusCode) -> Response {
    Response::new(code)
}
