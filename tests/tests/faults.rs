//! Requests through proxies that drop, delay, cut and freeze traffic, and crashed engines.

use eyre::{Result, bail, ensure};
use fakes::http::{call, open, request};
use fakes::proxy::{Fault, Faults, Proxy};
use fakes::set::{Set, Settings, chat_body};
use futures_lite::AsyncReadExt;
use http_types::{Method, Response};
use serde_json::json;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tests::cases;

cases! {
    answers_all_calls_while_datagrams_are_dropped(proxied()) = answers_while_dropping;
    answers_over_a_delayed_link(proxied()) = answers_over_delay;
    answers_whole_when_grants_come_late_and_crossed(proxied()) = answers_late_grants;
    fails_over_from_a_frozen_side(proxied()) = fails_over_from_frozen;
    retries_an_idempotent_call_whose_engine_crashed(proxied()) = retries_after_crash;
    aborts_a_stream_whose_engine_crashed(slow()) = aborts_stream_of_crashed;
    aborts_a_stream_whose_side_is_cut_off(slow()) = aborts_stream_of_cut_off;
    never_delivers_a_truncated_answer_as_complete(one_engine()) = refuses_truncated;
}

fn proxied() -> Settings {
    Settings {
        proxied: true,
        seed: 7,
        ..Settings::default()
    }
}

fn one_engine() -> Settings {
    Settings {
        engines: 1,
        entries: 1,
        ..proxied()
    }
}

fn slow() -> Settings {
    Settings {
        order_services: 0,
        token: Duration::from_millis(20),
        ..one_engine()
    }
}

async fn answers_while_dropping(set: Set) -> Result<()> {
    const CALLS: u64 = 60;
    for upstream in &set.upstreams {
        let drop = Fault {
            drop: 300,
            ..Fault::default()
        };
        proxy(&set, upstream.control)?.set_faults(drop.into());
    }
    for number in 0..CALLS {
        let entry = usize::try_from(number)? % set.entries.len();
        let prompt = format!("drop {number}");
        let answer = set.chat(entry, "summary", &prompt, 3).await?;
        ensure!(answer.status() == 200, "{number}: {}", answer.text());
        ensure!(answer.body == direct_answer(&set, &prompt, 3).await?);
        let key = format!("drop-{number}");
        let answer = set.order(entry, "booking", &key, "gent").await?;
        ensure!(answer.status() == 200, "{number}: {}", answer.text());
    }
    let dropped: u64 = set.proxies.values().map(Proxy::dropped).sum();
    ensure!(
        dropped > CALLS / 2,
        "expected more than {} dropped datagrams, got {dropped}",
        CALLS / 2
    );
    ensure_single_runs(&set, usize::try_from(CALLS)?).await
}

async fn answers_over_delay(set: Set) -> Result<()> {
    let link = Fault {
        bandwidth: 3_750_000,
        delay_ms: 12,
        jitter_ms: 3,
        ..Fault::default()
    };
    for proxy in set.proxies.values() {
        proxy.set_faults(link.into());
    }
    for number in 0..10 {
        let prompt = format!("delay {number}");
        let start = Instant::now();
        let answer = set.chat(0, "summary", &prompt, 20).await?;
        ensure!(answer.status() == 200, "{}", answer.text());
        ensure!(answer.body == direct_answer(&set, &prompt, 20).await?);
        ensure!(start.elapsed() > Duration::from_millis(48));
        ensure!(start.elapsed() < Duration::from_secs(2));
    }
    Ok(())
}

/// The jitter exceeds the time for which the entry waits for a grant, so grants arrive out of order and
/// after it has asked other sides.
async fn answers_late_grants(set: Set) -> Result<()> {
    const CALLERS: usize = 16;
    const CALLS: usize = 8;
    let high_jitter = Faults {
        backward: Some(Fault {
            jitter_ms: 200,
            ..Fault::default()
        }),
        ..Faults::default()
    };
    for upstream in &set.upstreams {
        proxy(&set, upstream.control)?.set_faults(high_jitter);
    }
    let set = std::sync::Arc::new(set);
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| {
            let set = set.clone();
            async_std::task::spawn(async move {
                for number in 0..CALLS {
                    let prompt = format!("crossed {caller} {number}");
                    let answer = set.chat(number % 2, "summary", &prompt, 3).await?;
                    ensure!(answer.status() == 200, "{}", answer.text());
                    ensure!(answer.body == direct_answer(&set, &prompt, 3).await?);
                }
                Ok(())
            })
        })
        .collect();
    for caller in callers {
        caller.await?;
    }
    Ok(())
}

async fn fails_over_from_frozen(set: Set) -> Result<()> {
    let frozen = Fault {
        freeze: true,
        ..Fault::default()
    };
    proxy(&set, set.upstreams[0].control)?.set_faults(frozen.into());
    for number in 0..12 {
        let start = Instant::now();
        let answer = set.chat(number % 2, "urgent", "frozen", 3).await?;
        ensure!(answer.status() == 200, "{}", answer.text());
        ensure!(
            start.elapsed() < Duration::from_secs(2),
            "{:?}",
            start.elapsed()
        );
    }
    Ok(())
}

async fn retries_after_crash(mut set: Set) -> Result<()> {
    set.set_faults(set.upstreams[0].address, &json!({"crash": true}))
        .await?;
    for number in 0..12 {
        let prompt = format!("crash {number}");
        let answer = set.chat(number % 2, "summary", &prompt, 3).await?;
        ensure!(answer.status() == 200, "{}", answer.text());
        ensure!(answer.body == direct_answer(&set, &prompt, 3).await?);
        if set.upstreams[0].upstream.exit_status().is_some() {
            return Ok(());
        }
    }
    bail!("no call reached the engine that crashes")
}

async fn aborts_stream_of_crashed(mut set: Set) -> Result<()> {
    let mut response = stream(&set, 100).await?;
    let mut start_of_body = [0; 64];
    response.read_exact(&mut start_of_body).await?;
    set.upstreams[0].upstream.kill();
    ensure_aborted(response, &start_of_body).await
}

async fn aborts_stream_of_cut_off(set: Set) -> Result<()> {
    let mut response = stream(&set, 100).await?;
    let mut start_of_body = [0; 64];
    response.read_exact(&mut start_of_body).await?;
    proxy(&set, set.upstreams[0].control)?.set_faults(Fault::CUT.into());
    ensure_aborted(response, &start_of_body).await
}

/// Cuts the answers of the upstreams at successive positions, in the head and in the body.
async fn refuses_truncated(set: Set) -> Result<()> {
    for upstream in &set.upstreams {
        for cut_after in (1..600).step_by(23) {
            let cut = Faults {
                backward: Some(Fault {
                    cut_after,
                    ..Fault::default()
                }),
                ..Faults::default()
            };
            proxy(&set, upstream.address)?.set_faults(cut);
            ensure_complete_or_refused(&set, &upstream.pool, cut_after).await?;
        }
    }
    Ok(())
}

async fn ensure_complete_or_refused(set: &Set, pool: &str, cut_after: u64) -> Result<()> {
    let (answer, expected) = if pool == "orders" {
        let key = format!("cut-{cut_after}");
        let answer = set.order(0, "booking", &key, "namur").await?;
        let expected = json!({"key": key, "run": 1, "echo": "namur"}).to_string();
        (answer, expected.into_bytes())
    } else {
        let prompt = format!("cut {cut_after}");
        let answer = set.chat(0, "summary", &prompt, 3).await?;
        (answer, direct_answer(set, &prompt, 3).await?)
    };
    if answer.status() == 200 {
        ensure!(
            answer.body == expected,
            "cut after {cut_after}: {}",
            answer.text()
        );
    } else {
        // The ledger answers 409 for a key whose run was interrupted.
        let status = answer.status();
        ensure!(
            status == 409 || status >= 500,
            "expected status 409 or 500 and above, got {status}"
        );
        let verdict = answer.header("Almondwell-Verdict");
        ensure!(
            ["may-have-run", "not-run"].contains(&verdict.as_str()),
            "expected the verdict may-have-run or not-run, got `{verdict}`: {}",
            answer.text()
        );
    }
    Ok(())
}

fn proxy(set: &Set, address: SocketAddr) -> Result<&Proxy> {
    set.proxies
        .get(&address)
        .ok_or_else(|| eyre::eyre!("no proxy forwards to {address}"))
}

/// The answer of an engine that is called directly, without almondwell.
async fn direct_answer(set: &Set, prompt: &str, tokens: u64) -> Result<Vec<u8>> {
    let engine = set.upstreams[1].address;
    let body = chat_body(prompt, tokens, false);
    let engine = if set.upstreams[1].pool == "drafting" {
        engine
    } else {
        set.upstreams[0].address
    };
    let request = request(Method::Post, engine, "/v1/chat/completions", &[], body);
    Ok(call(engine, request, Duration::from_secs(10)).await?.body)
}

async fn stream(set: &Set, tokens: u64) -> Result<Response> {
    let address = set.entries[0].callers;
    let headers = [("Authorization", "Bearer retail-key")];
    let body = chat_body("eyewash", tokens, true);
    let path = "/v1/chat/completions";
    open(
        address,
        request(Method::Post, address, path, &headers, body),
    )
    .await
}

async fn ensure_aborted(mut response: Response, start_of_body: &[u8]) -> Result<()> {
    let mut rest = start_of_body.to_vec();
    let end = async_std::future::timeout(Duration::from_secs(5), response.read_to_end(&mut rest));
    let end = end.await?;
    let text = String::from_utf8_lossy(&rest);
    ensure!(
        end.is_err(),
        "the stream ended as if it were complete: {text}"
    );
    ensure!(!text.contains("[DONE]"), "{text}");
    Ok(())
}

/// Checks that `keys` keys ran at the order service, each of them once.
async fn ensure_single_runs(set: &Set, keys: usize) -> Result<()> {
    let order_service = set
        .upstreams
        .iter()
        .find(|upstream| upstream.pool == "orders");
    let order_service = order_service.ok_or_else(|| eyre::eyre!("the set has no order service"))?;
    let records = set.read(order_service.address, "/records").await?;
    let runs = records["runs"].as_object();
    let runs = runs.ok_or_else(|| eyre::eyre!("no object `runs` in {records}"))?;
    ensure!(runs.len() == keys, "{} of {keys} keys ran", runs.len());
    for (key, count) in runs {
        ensure!(*count == 1, "{key} ran {count} times");
    }
    Ok(())
}
