//! Reads JSON pages of running instances for the operators' commands.

use async_std::future::timeout;
use async_std::net::TcpStream;
use eyre::{Result, WrapErr, ensure, eyre};
use http_types::{Method, Request};
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use std::time::Duration;

const TIMEOUT: Duration = Duration::from_secs(5);

/// Reads `page` at the admin address of an instance.
pub(crate) async fn read<T: DeserializeOwned>(admin: SocketAddr, page: &str) -> Result<T> {
    let fetched = timeout(TIMEOUT, fetch(admin, page))
        .await
        .map_err(|_| eyre!("no answer within {} s", TIMEOUT.as_secs()))
        .and_then(|body| body);
    let body = fetched.wrap_err_with(|| format!("cannot read {page} of {admin}"))?;
    serde_json::from_slice(&body)
        .wrap_err_with(|| format!("{page} of {admin} is not what an instance of almondwell says"))
}

async fn fetch(admin: SocketAddr, page: &str) -> Result<Vec<u8>> {
    let tcp = TcpStream::connect(admin).await?;
    let request = Request::new(Method::Get, format!("http://{admin}{page}").as_str());
    let mut response = async_h1::connect(tcp, request)
        .await
        .map_err(|error| eyre!("{error}"))?;
    let status = response.status();
    ensure!(status.is_success(), "the answer is {status}");
    response
        .body_bytes()
        .await
        .map_err(|error| eyre!("{error}"))
}
