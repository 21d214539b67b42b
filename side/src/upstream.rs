//! One call to the upstream over HTTP.

use crate::quarantine::{self, Stay};
use crate::side::Side;
use crate::sink::Sink;
use crate::{order, withdrawal};
use almondwell_schema::{Chunk, Crash, End, Fault, Head, Header, Reason, Run, Ticket, Verdict};
use almondwell_wire::Error;
use async_std::io::ReadExt;
use async_std::net::TcpStream;
use http_types::{Method, Request, Response, StatusCode};
use std::time::Duration;

const CHUNK: usize = 16 << 10;

/// Runs `run` at the upstream and writes its answer to `connection`.
pub(crate) async fn call(side: &Side, connection: &mut impl Sink, run: &Run) -> Result<(), Error> {
    if side.settings.fenced && side.order.number().is_none() {
        let detail = "the side has no fencing number yet; the store does not answer";
        return fail(connection, Verdict::NotRun, detail, Vec::new()).await;
    }
    let stay = match quarantine::admit(side, run).await {
        Ok(stay) => stay,
        Err(fault) => return connection.write(&fault.into()).await,
    };
    let tcp = match TcpStream::connect(side.settings.upstream).await {
        Ok(tcp) => tcp,
        Err(error) => {
            side.metrics.upstream_failures.inc();
            let detail = error.to_string();
            return fail(connection, Verdict::NotRun, &detail, Vec::new()).await;
        }
    };
    tcp.set_nodelay(true)?;
    match async_h1::connect(tcp, request(side, run)).await {
        Ok(response) if is_fenced_off(side, &response) => {
            let detail = "another process gives the upstream its orders now";
            spdlog::error!("side is superseded", kv: { id = side.settings.id.as_ref() });
            let answered = fail(connection, Verdict::NotRun, detail, Vec::new()).await;
            withdrawal::run(side).await;
            answered
        }
        Ok(response) => forward(&stay, side, connection, run.ticket, response).await,
        Err(error) => {
            side.metrics.upstream_failures.inc();
            broken(&stay, connection, &error.to_string()).await
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
    stay: &Stay<'_>,
    side: &Side,
    connection: &mut impl Sink,
    ticket: Ticket,
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
                side.queue().token(side.clock.now(), ticket);
                let bytes = buffer[..read].to_vec();
                connection.write(&Chunk { bytes }.into()).await?;
            }
            Err(error) => {
                side.metrics.upstream_failures.inc();
                return broken(stay, connection, &error.to_string()).await;
            }
        }
    }
    if expected.is_some_and(|expected| expected as u64 != length) {
        side.metrics.upstream_failures.inc();
        return broken(stay, connection, "answer was cut short").await;
    }
    stay.passed();
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

async fn broken(stay: &Stay<'_>, connection: &mut impl Sink, detail: &str) -> Result<(), Error> {
    let crashes = stay.broke().await;
    fail(connection, Verdict::MayHaveRun, detail, crashes).await
}

async fn fail(
    connection: &mut impl Sink,
    verdict: Verdict,
    detail: &str,
    crashes: Vec<Crash>,
) -> Result<(), Error> {
    let fault = Fault {
        verdict,
        reason: Reason::Unknown,
        retry: Duration::ZERO,
        detail: detail.into(),
        crashes,
    };
    connection.write(&fault.into()).await
}
