//! Asynchronous HTTP calls for tests and benchmarks.

use async_std::future::timeout;
use async_std::net::TcpStream;
use eyre::{Result, eyre};
use http_types::{Method, Request, Response};
use std::net::SocketAddr;
use std::time::Duration;

/// A complete response.
#[derive(Debug)]
pub struct Answer {
    /// Complete body.
    pub body: Vec<u8>,
    /// Status and headers; the body has been read.
    pub response: Response,
}

impl Answer {
    /// Status code.
    pub fn status(&self) -> u16 {
        self.response.status().into()
    }

    /// Value of the header `name`; empty if absent.
    pub fn header(&self, name: &str) -> String {
        self.response
            .header(name)
            .map(|values| values.as_str().to_string())
            .unwrap_or_default()
    }

    /// Body as text; invalid UTF-8 is replaced.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// Body parsed as JSON.
    pub fn json(&self) -> Result<serde_json::Value> {
        Ok(serde_json::from_slice(&self.body)?)
    }
}

/// Builds a request with `headers` and `body`.
pub fn request(
    method: Method,
    address: SocketAddr,
    path: &str,
    headers: &[(&str, &str)],
    body: impl Into<http_types::Body>,
) -> Request {
    let mut request = Request::new(method, format!("http://{address}{path}").as_str());
    for (name, value) in headers {
        request.insert_header(*name, *value);
    }
    request.set_body(body);
    request
}

/// Sends `request` to `address` on a new connection; returns once the response head has arrived.
pub async fn open(address: SocketAddr, request: Request) -> Result<Response> {
    let tcp = TcpStream::connect(address).await?;
    tcp.set_nodelay(true)?;
    async_h1::connect(tcp, request)
        .await
        .map_err(|error| eyre!("{error}"))
}

/// Sends `request` to `address` on a new connection and reads the complete response.
///
/// # Errors
///
/// When the exchange fails or takes longer than `limit`.
pub async fn call(address: SocketAddr, request: Request, limit: Duration) -> Result<Answer> {
    timeout(limit, async {
        let mut response = open(address, request).await?;
        let body = response
            .body_bytes()
            .await
            .map_err(|error| eyre!("{error}"))?;
        Ok(Answer { body, response })
    })
    .await
    .map_err(|_| eyre!("no complete response from {address} within {limit:?}"))?
}
