//! Runs one call at the upstream over HTTP.

use crate::ending::Ending;
use crate::quarantine::{self, Admission};
use crate::side::Side;
use crate::sink::Sink;
use crate::{drain, fencing, health};
use almondwell_platform::is_reset;
use almondwell_schema::{Chunk, Crash, End, Fault, Head, Header, Reason, Run, Ticket, Verdict};
use almondwell_wire::{Allowance, Error, Inflow, Reply};
use async_h1::client::{Encoder, decode};
use async_std::io::{self, BufReader, ReadExt};
use async_std::net::TcpStream;
use http_types::{Body, Method, Request, Response, StatusCode};
use std::time::Duration;

const READ_BUFFER_BYTES: usize = 16 << 10;
/// Longest head of an answer, and what the HTTP client reads ahead of the body.
const MAX_HEAD_BYTES: u64 = 64 << 10;
/// Longest body of an answer: a stream of a hundred thousand tokens, in events of some hundred bytes.
const MAX_BODY_BYTES: u64 = 64 << 20;

/// Runs `run` at the upstream and writes the response, or a fault, to `sink`.
///
/// Fails only if `sink` cannot be written or the upstream's socket cannot be configured.
pub(crate) async fn call(side: &Side, sink: &mut impl Sink, run: &Run) -> Result<(), Error> {
    if side.settings.fenced && side.fencing_token.value().is_none() {
        let detail = "the side has no fencing number yet; the store does not answer";
        return fail(sink, Verdict::NotRun, detail, Vec::new()).await;
    }
    let admission = match quarantine::admit(side, run).await {
        Ok(admission) => admission,
        Err(fault) => return sink.write(&fault.into()).await,
    };
    let tcp = match TcpStream::connect(side.settings.upstream).await {
        Ok(tcp) => tcp,
        Err(error) => {
            side.metrics.upstream_failures.inc();
            let detail = error.to_string();
            return fail(sink, Verdict::NotRun, &detail, Vec::new()).await;
        }
    };
    tcp.set_nodelay(true)?;
    let upstream = tcp.clone();
    let allowance = Allowance::new(MAX_HEAD_BYTES);
    let reply = Reply::new(Inflow::new(tcp, allowance.clone()));
    let response = exchange(&reply, request(side, run)).await;
    allowance.set(MAX_BODY_BYTES);
    match response {
        Ok(response) if is_fenced_off(side, &response) => {
            let detail = "another process gives the upstream its orders now";
            spdlog::error!("side superseded: upstream rejected its fencing token", kv: {
                id = side.settings.id.as_ref(),
            });
            let result = fail(sink, Verdict::NotRun, detail, Vec::new()).await;
            drain::start(side).await;
            result
        }
        Ok(mut response) => {
            if is_unframed(&response) {
                // The HTTP client takes a body without a length for an empty one.
                response.set_body(Body::from_reader(BufReader::new(reply), None));
            }
            forward(&admission, side, sink, run.ticket, response, &upstream).await
        }
        Err(error) => {
            side.metrics.upstream_failures.inc();
            fail_interrupted(&admission, sink, &error.to_string()).await
        }
    }
}

/// Sends `request` and reads the head of its response.
async fn exchange(reply: &Reply, request: Request) -> http_types::Result<Response> {
    io::copy(Encoder::new(request), reply.clone()).await?;
    decode(reply.clone()).await
}

fn request(side: &Side, run: &Run) -> Request {
    let url = format!("http://{}{}", side.settings.upstream, run.path);
    let mut request = Request::new(Method::Post, url.as_str());
    for header in &run.headers {
        request.insert_header(&*header.name, &*header.value);
    }
    if let Some(token) = side.fencing_token.value() {
        request.insert_header(fencing::HEADER, token.to_string());
    }
    request.set_body(run.body.as_slice());
    request
}

/// Whether the upstream has rejected the call for its old fencing token, and so has not run it.
fn is_fenced_off(side: &Side, response: &Response) -> bool {
    side.settings.fenced && response.status() == StatusCode::PreconditionFailed
}

/// Whether the response has a body that ends with its connection.
fn is_unframed(response: &Response) -> bool {
    let has_body = !matches!(
        response.status(),
        StatusCode::NoContent | StatusCode::NotModified
    );
    has_body
        && response.header("Content-Length").is_none()
        && response.header("Transfer-Encoding").is_none()
}

async fn forward(
    admission: &Admission<'_>,
    side: &Side,
    sink: &mut impl Sink,
    ticket: Ticket,
    mut response: Response,
    upstream: &TcpStream,
) -> Result<(), Error> {
    let expected = response.len();
    let is_unframed = is_unframed(&response);
    let mut ending = Ending::of(&response);
    sink.write(&head(&response).into()).await?;
    let mut length = 0;
    let mut buffer = vec![0; READ_BUFFER_BYTES];
    loop {
        match response.read(&mut buffer).await {
            Ok(0) => break,
            Ok(read) => {
                length += read as u64;
                ending.push(&buffer[..read]);
                side.queue().token(side.clock.now(), ticket);
                let bytes = buffer[..read].to_vec();
                sink.write(&Chunk { bytes }.into()).await?;
            }
            Err(error) => {
                side.metrics.upstream_failures.inc();
                return fail_interrupted(admission, sink, &error.to_string()).await;
            }
        }
    }
    if expected.is_some_and(|expected| expected as u64 != length) {
        side.metrics.upstream_failures.inc();
        return fail_interrupted(admission, sink, "answer was cut short").await;
    }
    if !ending.is_complete() {
        side.metrics.upstream_failures.inc();
        return fail_interrupted(admission, sink, "stream ended inside an event").await;
    }
    // The system of a killed upstream closes its connections in the same way. One that has not read its request resets it.
    if is_unframed && (!health::is_alive(side).await || is_reset(upstream)) {
        side.metrics.upstream_failures.inc();
        return fail_interrupted(admission, sink, "upstream ended with its answer").await;
    }
    admission.record_success();
    sink.write(&End { length }.into()).await
}

fn head(response: &Response) -> Head {
    let headers = response
        .iter()
        .filter(|(name, values)| {
            !matches!(
                name.as_str(),
                "content-length" | "transfer-encoding" | "connection"
            ) && !has_line_break(values.as_str())
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

/// Whether a value would end the head early. The HTTP client adds such a `Date` where the upstream sends none.
fn has_line_break(value: &str) -> bool {
    value.contains(['\r', '\n'])
}

async fn fail_interrupted(
    admission: &Admission<'_>,
    sink: &mut impl Sink,
    detail: &str,
) -> Result<(), Error> {
    let crashes = admission.record_failure().await;
    fail(sink, Verdict::MayHaveRun, detail, crashes).await
}

async fn fail(
    sink: &mut impl Sink,
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
    sink.write(&fault.into()).await
}
