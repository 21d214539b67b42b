//! Answers of upstreams that have neither a length nor chunks and end with their connection.

use eyre::{Result, ensure};
use fakes::set::{Set, Settings};
use tests::cases;
use tests::raw_engine::{End, RawEngine, ask};

const EVENTS: &str = "data: one\n\ndata: two\n\n";

cases! {
    // Guards against a head that ends early where the upstream sends no `Date`.
    relays_an_answer_without_a_date(one_engine()) = relays_dateless;
    relays_an_unframed_answer(one_engine()) = relays_answer;
    relays_an_unframed_stream(one_engine()) = relays_stream;
    // Guards against a broken-off stream without a length that reaches its caller as complete.
    aborts_an_unframed_stream_that_ends_inside_an_event(one_engine()) = |set| aborts(set, false);
    // Guards against the same where the upstream ends the chunks.
    aborts_a_chunked_stream_that_ends_inside_an_event(one_engine()) = |set| aborts(set, true);
}

pub(crate) fn one_engine() -> Settings {
    Settings {
        engines: 1,
        entries: 1,
        order_services: 0,
        ..Settings::default()
    }
}

/// Replaces the set's engine by an upstream that answers each request with `head` and `body` and closes the
/// connection.
async fn replace_engine(set: &mut Set, head: &str, body: &str) -> Result<RawEngine> {
    let answer = format!("HTTP/1.1 200 OK\r\n{head}\r\n{body}");
    RawEngine::replace(set, answer.as_bytes(), End::Close).await
}

async fn relays_dateless(mut set: Set) -> Result<()> {
    let body = "{\"whole\": 1}";
    let head = format!(
        "Content-Type: application/json\r\nContent-Length: {}\r\n",
        body.len()
    );
    replace_engine(&mut set, &head, body).await?;
    let (_, received) = ask(&set, false).await?;
    ensure!(received.as_deref() == Some(body), "{received:?}");
    Ok(())
}

async fn relays_answer(mut set: Set) -> Result<()> {
    replace_engine(
        &mut set,
        "Content-Type: application/json\r\n",
        "{\"whole\": 1}",
    )
    .await?;
    let (response, body) = ask(&set, false).await?;
    ensure!(response.status() == 200, "{response:?}");
    ensure!(body.as_deref() == Some("{\"whole\": 1}"), "{body:?}");
    Ok(())
}

async fn relays_stream(mut set: Set) -> Result<()> {
    replace_engine(&mut set, "Content-Type: text/event-stream\r\n", EVENTS).await?;
    let (response, body) = ask(&set, true).await?;
    ensure!(response.status() == 200, "{response:?}");
    ensure!(body.as_deref() == Some(EVENTS), "{body:?}");
    Ok(())
}

async fn aborts(mut set: Set, is_chunked: bool) -> Result<()> {
    let part = format!("{EVENTS}data: thr");
    let (encoding, body) = if is_chunked {
        let body = format!("{:x}\r\n{part}\r\n0\r\n\r\n", part.len());
        ("Transfer-Encoding: chunked\r\n", body)
    } else {
        ("", part)
    };
    let head = format!("Content-Type: text/event-stream\r\n{encoding}");
    replace_engine(&mut set, &head, &body).await?;
    let (response, body) = ask(&set, true).await?;
    ensure!(response.status() != 200 || body.is_none(), "{body:?}");
    Ok(())
}
