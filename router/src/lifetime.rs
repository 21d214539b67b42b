//! Asks an engine which lifetime of it a connection leads to. One that starts anew under its identifier may do so at another
//! version, and its new registration arrives later.

use crate::backend::Backend;
use crate::connection::{Connection, Error};
use crate::framing::Decoder;
use crate::response::{Head, MAX_HEAD_BYTES};
use almondwell_core::upstream::Upstream;
use almondwell_platform::report;
use async_std::future::timeout;
use async_std::io::WriteExt;
use std::time::Duration;

/// Time limit for the answer: a few round trips between regions on a busy machine.
const TIMEOUT: Duration = Duration::from_millis(500);
/// Longest report that is read; one with many running requests has some kilobytes.
const MAX_REPORT_BYTES: u64 = 256 << 10;

/// The connection, if it leads to the registered lifetime of `backend`, or the engine does not tell which one it is.
pub(crate) async fn confirm(mut connection: Connection, backend: &Backend) -> Option<Connection> {
    let upstream = &backend.upstream;
    let Some(registered) = upstream.started_ms.filter(|_| !connection.is_confirmed) else {
        return Some(connection);
    };
    let (head, started_ms) = timeout(TIMEOUT, ask(&mut connection, upstream))
        .await
        .ok()?
        .ok()?;
    if started_ms.is_some_and(|started_ms| started_ms != registered) {
        spdlog::info!("upstream has started anew", kv: {
            upstream = upstream.id.as_ref(), version = upstream.version.as_ref()
        });
        backend.mark_replaced();
        return None;
    }
    connection.is_confirmed = true;
    connection.into_idle(&head)
}

/// The head of the report, and the start time that it states.
async fn ask(
    connection: &mut Connection,
    upstream: &Upstream,
) -> Result<(Head, Option<u64>), Error> {
    let request = format!(
        "GET {} HTTP/1.1\r\nHost: {}\r\n\r\n",
        report::PATH,
        upstream.address
    );
    connection.buffer.allow(MAX_HEAD_BYTES as u64);
    let mut stream = connection.buffer.stream().clone();
    stream.write_all(request.as_bytes()).await?;
    let head = connection.read_head("GET").await?;
    connection.buffer.allow(MAX_REPORT_BYTES);
    let mut decoder = Decoder::new(head.framing);
    let mut body = Vec::new();
    loop {
        let buffer = &mut connection.buffer;
        let used = decoder
            .decode(buffer.bytes(), &mut body)
            .map_err(|_| Error::InvalidResponse)?;
        buffer.consume(used);
        if decoder.is_done() {
            return Ok((head, report::started_ms(&body)));
        }
        if buffer.fill().await? == 0 {
            return Err(Error::Closed);
        }
    }
}
