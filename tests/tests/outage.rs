//! Outages of the platform under traffic.

use async_std::task::{self, JoinHandle};
use eyre::{OptionExt, Result, ensure};
use fakes::http::{Answer, call, request};
use fakes::replacement::Addresses;
use fakes::set::{Set, Settings, chat_body};
use http_types::Method;
use serde_json::json;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tests::cases;
use tests::poll::until;
use tests::publish::{Publish, until_everywhere, versions};

/// Time within which a configuration must be in force everywhere, or work must reach a side, after an
/// outage.
const RECOVERY_BOUND: Duration = Duration::from_secs(5);
const OUTAGE: Duration = Duration::from_secs(6);

cases! {
    traffic_continues_while_the_platform_is_down(Settings::default()) = continues_while_down;
    traffic_continues_while_the_platform_hangs(Settings::default()) = continues_while_hung;
    a_publication_waits_for_the_end_of_an_outage(Settings::default()) = publishes_after_outage;
    a_publication_waits_for_the_end_of_a_hang(Settings::default()) = publishes_after_hang;
    a_publication_that_times_out_reports_that_it_is_not_in_force(Settings::default()) = publication_times_out;
    a_side_replaced_during_an_outage_gets_work(Settings::default()) = replaces_side;
    sides_started_during_an_outage_are_used_after_it(Settings::default()) = uses_side_started_during_outage;
    a_refused_booking_has_not_run(Settings::default()) = refused_bookings_have_not_run;
}

/// Sends requests to both entries for `time`, all of which must be answered; returns their number
/// and the slowest time.
async fn load(set: &Set, time: Duration) -> Result<(u64, Duration)> {
    let start = Instant::now();
    let mut slowest = Duration::ZERO;
    let mut count = 0;
    while start.elapsed() < time {
        let begin = Instant::now();
        let index = usize::from(count % 2 == 1);
        let answer = set.chat(index, "summary", "hammock", 3).await?;
        ensure!(answer.status() == 200, "{}", answer.text());
        slowest = slowest.max(begin.elapsed());
        count += 1;
    }
    Ok((count, slowest))
}

async fn continues_while_down(set: Set) -> Result<()> {
    continues(&set, &json!({"down": true})).await
}

async fn continues_while_hung(set: Set) -> Result<()> {
    continues(&set, &json!({"hang": true})).await
}

async fn continues(set: &Set, faults: &serde_json::Value) -> Result<()> {
    let before = versions(set).await?;
    set.set_faults(set.platform, faults).await?;
    let (count, slowest) = load(set, OUTAGE).await?;
    println!("platform with {faults}: {count} answers in {OUTAGE:?}, slowest {slowest:?}");
    ensure!(slowest < Duration::from_secs(2), "{slowest:?}");
    ensure!(versions(set).await? == before);
    Ok(())
}

async fn publishes_after_outage(set: Set) -> Result<()> {
    publishes_after(&set, &json!({"down": true})).await
}

async fn publishes_after_hang(set: Set) -> Result<()> {
    publishes_after(&set, &json!({"hang": true})).await
}

async fn publishes_after(set: &Set, faults: &serde_json::Value) -> Result<()> {
    let before = versions(set).await?[0];
    set.set_faults(set.platform, faults).await?;
    let publication = task::spawn(Publish::new(set, "mika").run());
    load(set, OUTAGE).await?;
    set.set_faults(set.platform, &json!({})).await?;
    let end = Instant::now();
    let outcome = publication.await?;
    let version = outcome.version.ok_or_eyre(outcome.errors)?;
    ensure!(version > before);
    let accepted = end.elapsed();
    until_everywhere(set, version, RECOVERY_BOUND).await?;
    println!(
        "{faults} over: accepted after {accepted:?}, everywhere after {:?}",
        end.elapsed()
    );
    ensure!(end.elapsed() < RECOVERY_BOUND, "{:?}", end.elapsed());
    Ok(())
}

async fn publication_times_out(set: Set) -> Result<()> {
    let before = versions(&set).await?;
    set.set_faults(set.platform, &json!({"down": true})).await?;
    let mut publish = Publish::new(&set, "mika");
    publish.patience = "1s";
    let outcome = publish.run().await?;
    ensure!(outcome.version.is_none(), "{outcome:?}");
    ensure!(outcome.errors.contains("not published"), "{outcome:?}");
    set.set_faults(set.platform, &json!({})).await?;
    task::sleep(Duration::from_secs(2)).await;
    ensure!(versions(&set).await? == before);
    Ok(())
}

/// Sends requests until the engine `index` starts one; returns the elapsed time.
async fn until_started(set: &Set, index: usize) -> Result<Duration> {
    let engine = set.upstreams[index].address;
    let started = async || {
        let records = set.read(engine, "/records").await?;
        Ok::<_, eyre::Report>(records["started"].as_u64())
    };
    let before = started().await?;
    until("the engine to start a request", RECOVERY_BOUND, || async {
        load(set, Duration::from_millis(1)).await?;
        Ok(started().await? > before)
    })
    .await
}

async fn replaces_side(mut set: Set) -> Result<()> {
    set.set_faults(set.platform, &json!({"down": true})).await?;
    load(&set, Duration::from_secs(1)).await?;
    let id = set.upstreams[0].id.clone();
    set.replace_side(0, &id, Addresses::Same).await?;
    let time = until_started(&set, 0).await?;
    println!("side replaced at its address during an outage: work after {time:?}");
    Ok(())
}

async fn uses_side_started_during_outage(mut set: Set) -> Result<()> {
    set.set_faults(set.platform, &json!({"down": true})).await?;
    set.add_engine().await?;
    let new = set.upstreams.len() - 1;
    load(&set, Duration::from_secs(3)).await?;
    set.set_faults(set.platform, &json!({})).await?;
    let time = until_started(&set, new).await?;
    println!("side started during an outage: work {time:?} after its end");
    Ok(())
}

/// Sends bookings before, during and after outages that outlast their deadlines. Each must be
/// answered, some must be refused, and those refused with the verdict not-run must not have run.
async fn refused_bookings_have_not_run(set: Set) -> Result<()> {
    const ROUND: Duration = Duration::from_secs(2);
    let mut bookings: Vec<JoinHandle<Result<(String, Answer)>>> = Vec::new();
    let rounds = [
        json!({}),
        json!({"down": true}),
        json!({}),
        json!({"hang": true}),
        json!({}),
    ];
    for (round, faults) in rounds.iter().enumerate() {
        set.set_faults(set.platform, faults).await?;
        for number in 0..20 {
            let key = format!("{round}-{number}");
            let address = set.entries[number % 2].callers;
            bookings.push(task::spawn(book(address, key)));
            task::sleep(Duration::from_millis(20)).await;
        }
        task::sleep(ROUND).await;
    }
    let mut outcomes = Vec::new();
    for booking in bookings {
        let (key, answer) = booking.await?;
        outcomes.push((key, answer.status(), answer.header("Almondwell-Verdict")));
    }
    // The order service comes after the two engines.
    let records = set.read(set.upstreams[2].address, "/records").await?;
    let mut counts: BTreeMap<String, u64> = BTreeMap::new();
    for (key, status, verdict) in outcomes {
        let runs = records["runs"][key.as_str()].as_u64().unwrap_or(0);
        match verdict.as_str() {
            "ran" => ensure!(
                runs == 1 && status == 200,
                "`{key}` ran {runs} times: {status}"
            ),
            "not-run" => ensure!(runs == 0, "`{key}` refused as not run, ran {runs} times"),
            _ => ensure!(runs <= 1, "`{key}` ran {runs} times"),
        }
        *counts.entry(verdict).or_default() += 1;
    }
    println!("100 bookings around two outages, by verdict: {counts:?}");
    ensure!(
        counts.get("not-run") > Some(&0),
        "no booking was refused as not run: {counts:?}"
    );
    ensure!(counts.get("ran") > Some(&30), "{counts:?}");
    Ok(())
}

async fn book(address: SocketAddr, key: String) -> Result<(String, Answer)> {
    let headers = [
        ("Authorization", "Bearer retail-key"),
        ("Idempotency-Key", key.as_str()),
        ("Almondwell-Deadline", "1s"),
    ];
    let body = chat_body(&key, 1, false);
    let request = request(
        Method::Post,
        address,
        "/v1/services/orders/booking",
        &headers,
        body,
    );
    let answer = call(address, request, Duration::from_secs(30)).await?;
    Ok((key, answer))
}
