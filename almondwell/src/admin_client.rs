//! HTTP client of the operator commands for the admin endpoints of running instances.

use almondwell_wire::{Allowance, Inflow, Reply};
use async_std::future::timeout;
use async_std::net::TcpStream;
use eyre::{Result, WrapErr, ensure, eyre};
use http_types::{Method, Request};
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use std::time::Duration;

const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// Reads `path` at the address `admin` of an instance and decodes it from JSON.
///
/// Fails if there is no successful response within [`REQUEST_TIMEOUT`] or its body is not valid.
pub(crate) async fn read<T: DeserializeOwned>(admin: SocketAddr, path: &str) -> Result<T> {
    let result = timeout(REQUEST_TIMEOUT, fetch(admin, path))
        .await
        .map_err(|_| eyre!("no answer within {} s", REQUEST_TIMEOUT.as_secs()))
        .and_then(|body| body);
    let body = result.wrap_err_with(|| format!("cannot read {path} of {admin}"))?;
    serde_json::from_slice(&body).wrap_err_with(|| {
        format!("cannot decode {path} of {admin} as JSON from an almondwell instance")
    })
}

async fn fetch(admin: SocketAddr, path: &str) -> Result<Vec<u8>> {
    let stream = TcpStream::connect(admin).await?;
    let request = Request::new(Method::Get, format!("http://{admin}{path}").as_str());
    let reply = Reply::new(Inflow::new(stream, Allowance::new(u64::MAX)));
    let mut response = async_h1::connect(reply, request)
        .await
        .map_err(|error| eyre!("{error}"))?;
    let status = response.status();
    ensure!(
        status.is_success(),
        "expected a successful response, got status {status}"
    );
    response
        .body_bytes()
        .await
        .map_err(|error| eyre!("{error}"))
}
