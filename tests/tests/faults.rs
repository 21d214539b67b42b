//! Requests behind proxies that drop, delay, cut and freeze.

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
    answers_whole_when_grants_come_late_and_crossed(proxied()) = answers_crossed;
    moves_on_from_a_frozen_side(proxied()) = moves_on_from_frozen;
    retries_an_idempotent_call_whose_engine_crashed(proxied()) = retries_after_crash;
    breaks_a_stream_whose_engine_crashed(slow()) = breaks_stream_of_crashed;
    breaks_a_stream_whose_side_is_cut(slow()) = breaks_stream_of_cut;
    never_passes_a_truncated_answer_as_whole(lone()) = refuses_truncated;
}

fn proxied() -> Settings {
    Settings {
        proxied: true,
        seed: 7,
        ..Settings::default()
    }
}

fn lone() -> Settings {
    Settings {
        engines: 1,
        entries: 1,
        ..proxied()
    }
}

fn slow() -> Settings {
    Settings {
        plains: 0,
        token: Duration::from_millis(20),
        ..lone()
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
        ensure!(answer.body == direct(&set, &prompt, 3).await?);
        let key = format!("drop-{number}");
        let answer = set.order(entry, "booking", &key, "gent").await?;
        ensure!(answer.status() == 200, "{number}: {}", answer.text());
    }
    let dropped: u64 = set.proxies.values().map(Proxy::dropped).sum();
    ensure!(dropped > CALLS / 2, "{dropped} datagrams dropped");
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
        ensure!(answer.body == direct(&set, &prompt, 20).await?);
        ensure!(start.elapsed() > Duration::from_millis(48));
        ensure!(start.elapsed() < Duration::from_secs(2));
    }
    Ok(())
}

/// Jitter beyond the entry's patience: grants come after others were asked, and out of order.
async fn answers_crossed(set: Set) -> Result<()> {
    const CALLERS: usize = 16;
    const CALLS: usize = 8;
    let crossing = Faults {
        backward: Some(Fault {
            jitter_ms: 200,
            ..Fault::default()
        }),
        ..Faults::default()
    };
    for upstream in &set.upstreams {
        proxy(&set, upstream.control)?.set_faults(crossing);
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
                    ensure!(answer.body == direct(&set, &prompt, 3).await?);
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

async fn moves_on_from_frozen(set: Set) -> Result<()> {
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
        ensure!(answer.body == direct(&set, &prompt, 3).await?);
        if set.upstreams[0].upstream.exit_status().is_some() {
            return Ok(());
        }
    }
    bail!("no call met the engine that crashes")
}

async fn breaks_stream_of_crashed(mut set: Set) -> Result<()> {
    let mut response = stream(&set, 100).await?;
    let mut begun = [0; 64];
    response.read_exact(&mut begun).await?;
    set.upstreams[0].upstream.kill();
    ensure_broken(response, &begun).await
}

async fn breaks_stream_of_cut(set: Set) -> Result<()> {
    let mut response = stream(&set, 100).await?;
    let mut begun = [0; 64];
    response.read_exact(&mut begun).await?;
    proxy(&set, set.upstreams[0].control)?.set_faults(Fault::CUT.into());
    ensure_broken(response, &begun).await
}

/// Cuts each answer of the upstream a little later than the last, through head and body.
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
            ensure_whole_or_refused(&set, &upstream.pool, cut_after).await?;
        }
    }
    Ok(())
}

async fn ensure_whole_or_refused(set: &Set, pool: &str, cut_after: u64) -> Result<()> {
    let (answer, whole) = if pool == "orders" {
        let key = format!("cut-{cut_after}");
        let answer = set.order(0, "booking", &key, "namur").await?;
        let whole = json!({"key": key, "run": 1, "echo": "namur"}).to_string();
        (answer, whole.into_bytes())
    } else {
        let prompt = format!("cut {cut_after}");
        let answer = set.chat(0, "summary", &prompt, 3).await?;
        (answer, direct(set, &prompt, 3).await?)
    };
    if answer.status() == 200 {
        ensure!(
            answer.body == whole,
            "cut after {cut_after}: {}",
            answer.text()
        );
    } else {
        // The ledger answers 409 for a key whose run broke off.
        let status = answer.status();
        ensure!(status == 409 || status >= 500, "{status}");
        let verdict = answer.header("Almondwell-Verdict");
        ensure!(
            ["may-have-run", "not-run"].contains(&verdict.as_str()),
            "{verdict}: {}",
            answer.text()
        );
    }
    Ok(())
}

fn proxy(set: &Set, address: SocketAddr) -> Result<&Proxy> {
    set.proxies
        .get(&address)
        .ok_or_else(|| eyre::eyre!("no proxy stands before {address}"))
}

/// The engine's own answer, asked for without almondwell.
async fn direct(set: &Set, prompt: &str, tokens: u64) -> Result<Vec<u8>> {
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

async fn ensure_broken(mut response: Response, begun: &[u8]) -> Result<()> {
    let mut rest = begun.to_vec();
    let end = async_std::future::timeout(Duration::from_secs(5), response.read_to_end(&mut rest));
    let end = end.await?;
    let text = String::from_utf8_lossy(&rest);
    ensure!(end.is_err(), "the stream ended as if whole: {text}");
    ensure!(!text.contains("[DONE]"), "{text}");
    Ok(())
}

/// Each key ran once at all order desks together.
async fn ensure_single_runs(set: &Set, keys: usize) -> Result<()> {
    let desk = set.upstreams.iter().find(|one| one.pool == "orders");
    let desk = desk.ok_or_else(|| eyre::eyre!("no order desk"))?;
    let records = set.read(desk.address, "/records").await?;
    let runs = records["runs"].as_object();
    let runs = runs.ok_or_else(|| eyre::eyre!("no runs in {records}"))?;
    ensure!(runs.len() == keys, "{} of {keys} keys ran", runs.len());
    for (key, count) in runs {
        ensure!(*count == 1, "{key} ran {count} times");
    }
    Ok(())
}
