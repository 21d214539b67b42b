//! One call to the upstream over HTTP.

use crate::side::Side;
use crate::{order, withdrawal};
use almondwell_schema::{Chunk, End, Fault, Head, Header, Reason, Run, Verdict};
use almondwell_wire::{Connection, Error};
use async_std::io::ReadExt;
use async_std::net::TcpStream;
use http_types::{Method, Request, Response, StatusCode};
use std::time::Duration;

const CHUNK: usize = 16 << 10;

/// Runs `run` at the upstream and writes its answer to `connection`.
pub(crate) async fn call(side: &Side, connection: &mut Connection, run: &Run) -> Result<(), Error> {
    if side.settings.fenced && side.order.number().is_none() {
        let detail = "the side has no fencing number yet; the object API does not answer";
        return fail(connection, Verdict::NotRun, detail).await;
    }
    let tcp = match TcpStream::connect(side.settings.upstream).await {
        Ok(tcp) => tcp,
        Err(error) => {
            side.metrics.upstream_failures.inc();
            return fail(connection, Verdict::NotRun, &error.to_string()).await;
        }
    };
    tcp.set_nodelay(true)?;
    match async_h1::connect(tcp, request(side, run)).await {
        Ok(response) if is_fenced_off(side, &response) => {
            let detail = "another process gives the upstream its orders now";
            spdlog::error!("side is superseded", kv: { id = side.settings.id.as_ref() });
            let answered = fail(connection, Verdict::NotRun, detail).await;
            withdrawal::run(side).await;
            answered
        }
        Ok(response) => forward(side, connection, response).await,
        Err(error) => {
            side.metrics.upstream_failures.inc();
            fail(connection, Verdict::MayHaveRun, &error.to_string()).await
        }
    }
}

fn request(side: &Side, run: &Run) -> Request {
    let url = format!("http://{}{}", side.settings.upstream, run.path);
    let mut request = Request::new(Method::Post, url.as_str());
    for header in &run.headers {
        request.insert_header(&*header.name, &*header.value);
    }
    if let Some(number) = side.order.number() {
        request.insert_header(order::HEADER, number.to_string());
    }
    request.set_body(run.body.as_slice());
    request
}

/// Whether the upstream has refused the order for its number, and so has not run it.
fn is_fenced_off(side: &Side, response: &Response) -> bool {
    side.settings.fenced && response.status() == StatusCode::PreconditionFailed
}

async fn forward(
    side: &Side,
    connection: &mut Connection,
    mut response: Response,
) -> Result<(), Error> {
    let expected = response.len();
    connection.write(&head(&response).into()).await?;
    let mut length = 0;
    let mut buffer = vec![0; CHUNK];
    loop {
        match response.read(&mut buffer).await {
            Ok(0) => break,
            Ok(read) => {
                length += read as u64;
                let bytes = buffer[..read].to_vec();
                connection.write(&Chunk { bytes }.into()).await?;
            }
            Err(error) => {
                side.metrics.upstream_failures.inc();
                return fail(connection, Verdict::MayHaveRun, &error.to_string()).await;
            }
        }
    }
    if expected.is_some_and(|expected| expected as u64 != length) {
        side.metrics.upstream_failures.inc();
        return fail(connection, Verdict::MayHaveRun, "answer was cut short").await;
    }
    connection.write(&End { length }.into()).await
}

fn head(response: &Response) -> Head {
    let headers = response
        .iter()
        .filter(|(name, _)| {
            !matches!(
                name.as_str(),
                "content-length" | "transfer-encoding" | "connection"
            )
        })
        .map(|(name, values)| Header {
            name: name.as_str().into(),
            value: values.as_str().into(),
        })
        .collect();
    Head {
        status: response.status().into(),
        headers,
        replayed: false,
    }
}

async fn fail(connection: &mut Connection, verdict: Verdict, detail: &str) -> Result<(), Error> {
    let fault = Fault {
        verdict,
        reason: Reason::Unknown,
        retry: Duration::ZERO,
        detail: detail.into(),
    };
    connection.write(&fault.into()).await
}
