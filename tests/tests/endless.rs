//! Upstreams that send bytes without end in a head or a body: they stop neither the entry nor the side before them.

use async_std::task;
use eyre::{Result, ensure};
use fakes::set::{Set, Settings};
use std::time::Duration;
use tests::cases;
use tests::raw_engine::{End, RawEngine, ask, ask_at};

/// Requests that meet an endless answer at the same time.
const CALLS: usize = 12;
/// Memory of the platform's smallest machines, in KiB.
const MAX_MEMORY_KIB: u64 = 88 << 10;
const WHOLE: &str = "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n{\"whole\": 1}";
/// Time in which a side ends a connection after its deadline.
const END_TIME: Duration = Duration::from_secs(1);

// Guards against a process that keeps all bytes that arrive, and runs out of memory with the requests of others.
cases! {
    ends_a_header_line_without_end(two_engines()) = |set| ends(set, "HTTP/1.1 200 OK\r\nX-Long: ", "more");
    ends_headers_without_end(two_engines()) = |set| ends(set, "HTTP/1.1 200 OK\r\n", "X-Another: one\r\n");
    ends_interim_responses_without_end(two_engines()) = |set| ends(set, "", "HTTP/1.1 100 Continue\r\n\r\n");
    ends_a_chunk_extension_without_end(two_engines()) = |set| ends(set, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;", "more");
    ends_chunks_without_end(two_engines()) = |set| ends(set, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nmore\r\n");
    ends_a_length_without_end(two_engines()) = |set| ends(set, "HTTP/1.1 200 OK\r\nContent-Length: 1099511627776\r\n\r\n", "more");
    ends_an_unframed_body_without_end(two_engines()) = |set| ends(set, "HTTP/1.1 200 OK\r\n\r\n", "more");
    ends_an_event_line_without_end(two_engines()) = |set| ends(set, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\ndata: ", "more");
}

fn two_engines() -> Settings {
    Settings {
        engines: 2,
        entries: 1,
        order_services: 0,
        ..Settings::default()
    }
}

/// One of two engines answers without end: no answer looks complete that is not, and both processes go on.
async fn ends(mut set: Set, start: &str, piece: &'static str) -> Result<()> {
    let flood = End::Endless(piece);
    let engine = RawEngine::replace(&mut set, start.as_bytes(), flood).await?;
    for _ in 0..2 {
        let calls: Vec<_> = (0..CALLS)
            .map(|_| task::spawn(ask_at(set.entries[0].callers, false)))
            .collect();
        for call in calls {
            let (response, body) = call.await?;
            let is_whole = body.is_some_and(|body| body.contains("completion_tokens"));
            let status = response.status();
            ensure!(status != 200 || is_whole, "{status}");
        }
    }
    task::sleep(END_TIME).await;
    let entry = set.entries[0].process.peak_memory()?;
    ensure!(entry < MAX_MEMORY_KIB, "the entry used {entry} KiB");
    let side = set.upstreams[0].side.peak_memory()?;
    ensure!(side < MAX_MEMORY_KIB, "the side used {side} KiB");
    engine.set_answer(WHOLE.as_bytes(), End::Close);
    let (response, body) = ask(&set, false).await?;
    ensure!(response.status() == 200, "{response:?}, {body:?}");
    Ok(())
}
