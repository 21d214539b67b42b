//! Requests from the caller through entry and side to the upstream and back.

use eyre::{Result, ensure};
use fakes::http::{call, open, request};
use fakes::set::{Set, Settings, chat_body};
use futures_lite::AsyncReadExt;
use http_types::Method;
use std::time::{Duration, Instant};
use tests::cases;

cases! {
    serves_a_complete_answer(Settings::default()) = serves_complete_answer;
    serves_a_long_plain_answer(Settings::default()) = serves_long_plain_answer;
    serves_a_plain_call(Settings::default()) = serves_plain_call;
    forwards_the_first_chunk_before_the_last_is_generated(slow()) = forwards_first_chunk;
    cancels_a_stream_whose_caller_disconnected(slow()) = cancels_stream;
    refuses_an_unknown_model(Settings::default()) = refuses_unknown_model;
}

fn slow() -> Settings {
    Settings {
        engines: 1,
        entries: 1,
        order_services: 0,
        token: Duration::from_millis(100),
        ..Settings::default()
    }
}

async fn serves_complete_answer(set: Set) -> Result<()> {
    for index in 0..2 {
        let answer = set.chat(index, "summary", "hammock", 5).await?;
        ensure!(answer.status() == 200, "{}", answer.text());
        ensure!(answer.header("Almondwell-Verdict") == "ran");
        ensure!(answer.header("Almondwell-Request").len() == 32);
        let text = answer.json()?["choices"][0]["message"]["content"].to_string();
        ensure!(text.split_whitespace().count() >= 5, "{text}");
    }
    Ok(())
}

async fn serves_long_plain_answer(set: Set) -> Result<()> {
    const LENGTH: usize = 3 << 20;
    let body: String = ('a'..='z').cycle().take(LENGTH).collect();
    let answer = set.order(0, "lookup", "key-1", &body).await?;
    ensure!(answer.status() == 200, "{}", answer.status());
    ensure!(answer.header("Almondwell-Verdict") == "ran");
    ensure!(
        answer.json()?["echo"] == body.as_str(),
        "the answer was truncated or changed"
    );
    Ok(())
}

async fn serves_plain_call(set: Set) -> Result<()> {
    let answer = set.order(0, "booking", "key-1", "fukuoka").await?;
    ensure!(answer.status() == 200, "{}", answer.text());
    ensure!(answer.json()?["echo"] == "fukuoka");
    Ok(())
}

async fn forwards_first_chunk(set: Set) -> Result<()> {
    let start = Instant::now();
    let mut response = stream(&set, 10).await?;
    let mut buffer = [0; 4096];
    let read = response.read(&mut buffer).await?;
    let first = start.elapsed();
    ensure!(buffer[..read].starts_with(b"data: "));
    let mut rest = Vec::new();
    response.read_to_end(&mut rest).await?;
    ensure!(rest.ends_with(b"data: [DONE]\n\n"));
    ensure!(
        first < start.elapsed() / 2,
        "{first:?} of {:?}",
        start.elapsed()
    );
    Ok(())
}

async fn cancels_stream(set: Set) -> Result<()> {
    let mut response = stream(&set, 1000).await?;
    let mut buffer = [0; 64];
    response.read_exact(&mut buffer).await?;
    drop(response);
    let engine = set.upstreams[0].address;
    let start = Instant::now();
    while start.elapsed() < Duration::from_secs(5) {
        if set.read(engine, "/records").await?["cancelled"] == 1 {
            return Ok(());
        }
        async_std::task::sleep(Duration::from_millis(20)).await;
    }
    eyre::bail!("the engine still runs a request 5 s after its caller disconnected")
}

async fn refuses_unknown_model(set: Set) -> Result<()> {
    let body = chat_body("hammock", 1, false).replace("almond", "walnut");
    let answer = set.post(0, "/v1/chat/completions", &[], &body).await?;
    ensure!(answer.status() == 404, "{}", answer.text());
    ensure!(answer.header("Almondwell-Verdict") == "not-run");
    ensure!(answer.json()?["error"]["code"] == "unknown_model");
    let address = set.entries[0].callers;
    let models = request(Method::Get, address, "/v1/models", &[], "");
    let models = call(address, models, Duration::from_secs(5)).await?;
    ensure!(models.json()?["data"][0]["id"] == "almond");
    Ok(())
}

async fn stream(set: &Set, tokens: u64) -> Result<http_types::Response> {
    let address = set.entries[0].callers;
    let headers = [("Authorization", "Bearer retail-key")];
    let body = chat_body("hammock", tokens, true);
    open(
        address,
        request(
            Method::Post,
            address,
            "/v1/chat/completions",
            &headers,
            body,
        ),
    )
    .await
}
