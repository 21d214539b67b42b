//! Publication of a configuration and its propagation to all processes.

use async_std::task;
use eyre::{OptionExt, Result, ensure};
use fakes::replacement::Addresses;
use fakes::set::{Set, Settings, wait_ready};
use serde_json::{Value, json};
use std::time::Duration;
use tests::cases;
use tests::publish::{Outcome, Publish, until_everywhere, versions};

/// Time within which an accepted configuration must be in force everywhere.
const MAX_PROPAGATION: Duration = Duration::from_secs(5);

cases! {
    a_publication_is_in_force_everywhere_within_seconds(many()) = propagates;
    few_processes_watch_the_platform(eight_entries()) = few_watch;
    a_publication_that_loses_a_race_names_the_winner(one()) = names_winner;
    a_lost_reply_is_settled(one()) = settles_lost_reply;
    a_lost_reply_is_settled_after_a_later_publication(one()) = settles_reply_lost_before_later_publication;
    a_late_write_that_loses_is_reported_as_lost(one()) = settles_late_loser;
    a_late_write_that_wins_is_reported_as_published(one()) = settles_late_winner;
    no_version_is_replaced_by_a_lower_one(many()) = never_reverts;
    a_process_started_during_an_outage_gets_the_configuration_from_its_peers(many()) = gets_configuration_from_peers;
}

fn many() -> Settings {
    Settings {
        engines: 4,
        entries: 4,
        order_services: 1,
        ..Settings::default()
    }
}

fn eight_entries() -> Settings {
    Settings {
        entries: 8,
        ..many()
    }
}

fn one() -> Settings {
    Settings {
        engines: 1,
        entries: 1,
        order_services: 0,
        ..Settings::default()
    }
}

async fn publish(set: &Set, author: &str) -> Result<u64> {
    let outcome = Publish::new(set, author).run().await?;
    outcome.version.ok_or_eyre(outcome.errors)
}

async fn propagates(set: Set) -> Result<()> {
    let mut slowest = Duration::ZERO;
    for _ in 0..10 {
        let version = publish(&set, "mika").await?;
        slowest = slowest.max(until_everywhere(&set, version, MAX_PROPAGATION).await?);
    }
    println!("in force at 4 entries and 5 sides: slowest of 10 after {slowest:?}");
    Ok(())
}

async fn few_watch(set: Set) -> Result<()> {
    const TIME: Duration = Duration::from_secs(6);
    const PROCESSES: u64 = 13;
    task::sleep(Duration::from_secs(2)).await;
    let before = set.read(set.platform, "/counts").await?;
    task::sleep(TIME).await;
    let after = set.read(set.platform, "/counts").await?;
    let count = |counts: &Value| counts["watches"].as_u64().unwrap_or(0);
    let watches = count(&after) - count(&before);
    println!("{PROCESSES} processes, {TIME:?}: {watches} watches");
    // Two watchers with one watch every two seconds each, and an occasional read by the other
    // processes. Eight watchers would make twenty-four watches.
    ensure!(watches <= 2 * 4 + 5, "{watches} watches in {TIME:?}");
    Ok(())
}

async fn names_winner(set: Set) -> Result<()> {
    const AUTHORS: usize = 6;
    // The delay makes all authors read the same version before the first of them writes.
    set.set_faults(set.platform, &json!({"delay_ms": 400}))
        .await?;
    let races: Vec<_> = (0..AUTHORS)
        .map(|number| task::spawn(Publish::new(&set, &format!("author{number}")).run()))
        .collect();
    let mut outcomes: Vec<Outcome> = Vec::new();
    for race in races {
        outcomes.push(race.await?);
    }
    set.set_faults(set.platform, &json!({})).await?;
    let winners: Vec<_> = (0..AUTHORS)
        .filter(|number| outcomes[*number].version.is_some())
        .collect();
    ensure!(winners.len() == 1, "{outcomes:#?}");
    let winner = winners[0];
    let version = outcomes[winner].version.unwrap_or(0);
    let expected = format!("lost to version {version} published by `author{winner}`");
    for (number, outcome) in outcomes.iter().enumerate() {
        let names_winner = outcome.errors.contains(&expected);
        ensure!(
            number == winner || names_winner,
            "expected `{expected}`, got {outcome:#?}"
        );
    }
    until_everywhere(&set, version, MAX_PROPAGATION).await?;
    Ok(())
}

async fn settles_lost_reply(set: Set) -> Result<()> {
    let before = versions(&set).await?[0];
    let applied = applied(&set).await?;
    set.set_faults(set.platform, &json!({"lose_replies": 1}))
        .await?;
    let version = publish(&set, "mika").await?;
    until_everywhere(&set, version, MAX_PROPAGATION).await?;
    ensure!(
        version > before,
        "expected a version above {before}, got {version}"
    );
    let writes = self::applied(&set).await? - applied;
    ensure!(writes == 1, "expected 1 write to take effect, got {writes}");
    Ok(())
}

/// Number of writes to the store that took effect.
async fn applied(set: &Set) -> Result<u64> {
    let counts = set.read(set.platform, "/counts").await?;
    counts["applied"]
        .as_u64()
        .ok_or_eyre("the page `/counts` has no number `applied`")
}

async fn settles_reply_lost_before_later_publication(set: Set) -> Result<()> {
    set.set_faults(set.platform, &json!({"lose_replies": 1}))
        .await?;
    let first = task::spawn(Publish::new(&set, "mika").run());
    task::sleep(Duration::from_millis(800)).await;
    let second = publish(&set, "jan").await?;
    let first = first.await?;
    ensure!(
        first.version == Some(second),
        "expected version {second}, got {first:#?}"
    );
    Ok(())
}

async fn settles_late_loser(set: Set) -> Result<()> {
    let late = json!({"late_writes": 1, "delay_ms": 3_000});
    set.set_faults(set.platform, &late).await?;
    let first = task::spawn(Publish::new(&set, "mika").run());
    task::sleep(Duration::from_millis(500)).await;
    set.set_faults(set.platform, &json!({})).await?;
    let second = publish(&set, "jan").await?;
    let first = first.await?;
    let expected = format!("not published: lost to version {second} published by `jan`");
    ensure!(first.version.is_none(), "{first:#?}");
    ensure!(first.errors.contains(&expected), "{first:#?}");
    // The delayed write arrives after its publication has been reported as lost.
    task::sleep(Duration::from_secs(2)).await;
    ensure!(versions(&set).await?.iter().all(|held| *held == second));
    Ok(())
}

async fn settles_late_winner(set: Set) -> Result<()> {
    let late = json!({"late_writes": 1, "delay_ms": 2_100});
    set.set_faults(set.platform, &late).await?;
    let publication = task::spawn(Publish::new(&set, "mika").run());
    task::sleep(Duration::from_millis(500)).await;
    set.set_faults(set.platform, &json!({})).await?;
    let outcome = publication.await?;
    let version = outcome.version.ok_or_eyre(outcome.errors)?;
    until_everywhere(&set, version, MAX_PROPAGATION).await?;
    task::sleep(Duration::from_secs(1)).await;
    ensure!(versions(&set).await?.iter().all(|held| *held == version));
    Ok(())
}

/// Publishes repeatedly while processes are killed and replaced.
async fn never_reverts(mut set: Set) -> Result<()> {
    let mut highest = vec![0; set.entries.len() + set.upstreams.len()];
    for round in 0..6 {
        let version = publish(&set, "mika").await?;
        for _ in 0..5 {
            for (highest, held) in highest.iter_mut().zip(versions(&set).await?) {
                ensure!(
                    held >= *highest,
                    "version {held} in force after version {highest}"
                );
                *highest = held;
            }
        }
        until_everywhere(&set, version, MAX_PROPAGATION).await?;
        let entry = round % set.entries.len();
        set.replace_entry(entry, Addresses::Same).await?;
        wait_ready(set.entries[entry].admin, "/ready").await?;
        let side = round % set.upstreams.len();
        let id = set.upstreams[side].id.clone();
        set.replace_side(side, &id, Addresses::Same).await?;
        until_everywhere(&set, version, MAX_PROPAGATION).await?;
    }
    Ok(())
}

async fn gets_configuration_from_peers(mut set: Set) -> Result<()> {
    let version = publish(&set, "mika").await?;
    until_everywhere(&set, version, MAX_PROPAGATION).await?;
    for faults in [json!({"down": true}), json!({"hang": true})] {
        set.set_faults(set.platform, &faults).await?;
        let peers = set.entries[1..]
            .iter()
            .map(|entry| entry.control.to_string());
        let peers = peers.collect::<Vec<_>>().join(",");
        let peers = ("peers".to_string(), peers);
        set.settings.entry_flags = vec![peers.clone()];
        set.settings.side_flags = vec![peers];
        set.replace_entry(0, Addresses::New).await?;
        let id = set.upstreams[0].id.clone();
        set.replace_side(0, &id, Addresses::Same).await?;
        let time = until_everywhere(&set, version, MAX_PROPAGATION).await?;
        println!("started while {faults}: configuration after {time:?}");
        wait_ready(set.entries[0].admin, "/ready").await?;
        let answer = set.chat(0, "summary", "hammock", 2).await?;
        ensure!(answer.status() == 200, "{}", answer.text());
    }
    Ok(())
}
