//! Service-level report, status of the instances and exported metrics.

use eyre::{Result, ensure};
use fakes::process::{output, path};
use fakes::set::{Set, Settings};
use serde_json::{Value, json};
use std::process::{Command, Output};
use std::time::Duration;
use tests::cases;

cases! {
    counts_good_requests_of_all_entries(Settings::default()) = counts_good;
    counts_late_requests_as_bad(late_first_token()) = counts_late;
    counts_refused_requests_as_bad(no_engine()) = counts_refused;
    counts_slow_streams_as_bad(slow_tokens()) = counts_slow_stream;
    excludes_callers_that_disconnected_within_the_target(slow_prefill()) = excludes_disconnected_callers;
    prints_the_table(Settings::default()) = prints_table;
    prints_a_page_with_a_plot(Settings::default()) = prints_page;
    prints_the_remaining_entries_when_one_is_down(Settings::default()) = prints_remaining_entries;
    prints_the_version_at_each_instance(Settings::default()) = prints_status;
    exports_metrics_with_the_request_id(Settings::default()) = exports_metrics;
}

fn late_first_token() -> Settings {
    Settings {
        prefill: Duration::from_millis(1200),
        ..small()
    }
}

fn slow_prefill() -> Settings {
    Settings {
        prefill: Duration::from_millis(500),
        ..small()
    }
}

fn slow_tokens() -> Settings {
    Settings {
        token: Duration::from_millis(150),
        ..small()
    }
}

fn small() -> Settings {
    Settings {
        engines: 1,
        entries: 1,
        order_services: 0,
        ..Settings::default()
    }
}

fn no_engine() -> Settings {
    Settings {
        engines: 0,
        order_services: 1,
        entries: 1,
        ..Settings::default()
    }
}

async fn counts_good(set: Set) -> Result<()> {
    for index in [0, 0, 1] {
        set.chat(index, "urgent", "hammock", 3).await?;
    }
    set.order(1, "booking", "key-1", "fukuoka").await?;
    let report = json_report(&set)?;
    let classes = &report["classes"];
    ensure!(classes[0]["class"] == "urgent", "{report}");
    ensure!(classes[0]["level"]["good"] == 3, "{report}");
    ensure!(classes[0]["level"]["bad"] == 0, "{report}");
    ensure!(classes[0]["level"]["budget_left"] == 1.0, "{report}");
    ensure!(classes[1]["class"] == "booking", "{report}");
    ensure!(report["tiers"][0]["level"]["good"] == 4, "{report}");
    ensure!(
        report["entries"] == json!(["entry-0", "entry-1"]),
        "{report}"
    );
    Ok(())
}

async fn counts_late(set: Set) -> Result<()> {
    set.chat(0, "urgent", "hammock", 1).await?;
    set.chat(0, "summary", "hammock", 1).await?;
    let report = json_report(&set)?;
    ensure!(level(&report, "urgent")["bad"] == 1, "{report}");
    ensure!(level(&report, "urgent")["burn_fast"] == 20.0, "{report}");
    ensure!(level(&report, "summary")["good"] == 1, "{report}");
    Ok(())
}

async fn counts_refused(set: Set) -> Result<()> {
    let answer = set.chat(0, "urgent", "hammock", 1).await?;
    ensure!(answer.status() == 503, "{}", answer.text());
    ensure!(answer.header("Almondwell-Verdict") == "not-run");
    ensure!(!answer.header("Retry-After").is_empty());
    let report = json_report(&set)?;
    ensure!(level(&report, "urgent")["bad"] == 1, "{report}");
    Ok(())
}

async fn counts_slow_stream(set: Set) -> Result<()> {
    let body = fakes::set::chat_body("hammock", 5, true);
    let answer = set.post(0, "/v1/chat/completions", &[], &body).await?;
    ensure!(answer.text().ends_with("data: [DONE]\n\n"));
    let report = json_report(&set)?;
    ensure!(level(&report, "summary")["bad"] == 1, "{report}");
    Ok(())
}

async fn excludes_disconnected_callers(set: Set) -> Result<()> {
    let call = Box::pin(set.chat(0, "urgent", "hammock", 1));
    let result = async_std::future::timeout(Duration::from_millis(100), call).await;
    ensure!(
        result.is_err(),
        "the caller was answered before it disconnected"
    );
    set.chat(0, "urgent", "hammock", 1).await?;
    let report = json_report(&set)?;
    ensure!(level(&report, "urgent")["good"] == 1, "{report}");
    ensure!(level(&report, "urgent")["bad"] == 0, "{report}");
    Ok(())
}

async fn prints_table(set: Set) -> Result<()> {
    set.chat(0, "urgent", "hammock", 1).await?;
    let text = stdout(&report(&set, "text")?)?;
    let lines: Vec<_> = text.lines().collect();
    ensure!(
        lines[0] == "burn of 2 entries; fast window 300 s, slow window 3600 s",
        "{text}"
    );
    let words: Vec<_> = lines[4].split_whitespace().collect();
    let expected = [
        "0", "drafting", "urgent", "95.0%", "1", "0", "0.00", "0.00", "100.0%",
    ];
    ensure!(words == expected, "{text}");
    Ok(())
}

async fn prints_page(set: Set) -> Result<()> {
    set.chat(0, "urgent", "hammock", 1).await?;
    let page = stdout(&report(&set, "html")?)?;
    ensure!(page.starts_with("<!DOCTYPE html>"), "{page}");
    ensure!(
        page.contains("<svg") && page.contains("drafting urgent"),
        "{page}"
    );
    ensure!(page.trim_end().ends_with("</html>"), "{page}");
    Ok(())
}

async fn prints_remaining_entries(mut set: Set) -> Result<()> {
    set.chat(0, "urgent", "hammock", 1).await?;
    set.entries[1].process.kill();
    let output = report(&set, "text")?;
    ensure!(!output.status.success());
    let text = String::from_utf8(output.stdout)?;
    ensure!(text.starts_with("burn of 1 entries"), "{text}");
    let errors = String::from_utf8(output.stderr)?;
    let expected = format!(
        "almondwell: cannot read /report of {}",
        set.entries[1].admin
    );
    ensure!(errors.starts_with(&expected), "{errors}");
    Ok(())
}

async fn prints_status(set: Set) -> Result<()> {
    let mut command = Command::new(path("almondwell")?);
    command.arg("status");
    for entry in &set.entries {
        command.args(["--entry", &entry.admin.to_string()]);
    }
    command.args(["--side", &set.upstreams[0].admin.to_string()]);
    let text = stdout(&output(&mut command)?)?;
    let lines: Vec<Vec<_>> = text
        .lines()
        .map(|line| line.split_whitespace().collect())
        .collect();
    ensure!(lines.len() == 4, "{text}");
    ensure!(lines[1][..2] == ["entry-0", "entry"], "{text}");
    let version = set.published_version().await?.to_string();
    ensure!(lines[1][3..] == [&*version, "serving"], "{text}");
    ensure!(lines[2][3..] == [&*version, "serving"], "{text}");
    ensure!(lines[3][..2] == ["side-drafting-0", "side"], "{text}");
    Ok(())
}

async fn exports_metrics(set: Set) -> Result<()> {
    let answer = set.chat(0, "urgent", "hammock", 1).await?;
    let request = answer.header("Almondwell-Request");
    let admin = set.entries[0].admin;
    let page = fakes::http::request(http_types::Method::Get, admin, "/metrics", &[], "");
    let page = fakes::http::call(admin, page, Duration::from_secs(5)).await?;
    let text = page.text();
    let version = format!(
        "almondwell_configuration_version {}\n",
        set.published_version().await?
    );
    for expected in [
        "almondwell_requests_total{class=\"urgent\",outcome=\"good\",service=\"drafting\",tier=\"0\",verdict=\"ran\"} 1",
        "almondwell_first_token_seconds_count{class=\"urgent\",service=\"drafting\",tier=\"0\"} 1",
        "almondwell_grant_wait_seconds_count{class=\"urgent\",service=\"drafting\",tier=\"0\"} 1",
        "almondwell_request_seconds_count{class=\"urgent\",service=\"drafting\",tier=\"0\"} 1",
        &version,
        "# EOF",
    ] {
        ensure!(text.contains(expected), "{expected} is missing in\n{text}");
    }
    ensure!(
        text.contains(&format!("{{request=\"{request}\"}}")),
        "{text}"
    );
    Ok(())
}

fn json_report(set: &Set) -> Result<Value> {
    let text = stdout(&report(set, "json")?)?;
    Ok(serde_json::from_str(&text)?)
}

fn level<'a>(report: &'a Value, class: &str) -> &'a Value {
    let classes = report["classes"].as_array().map_or(&[][..], Vec::as_slice);
    classes
        .iter()
        .find(|row| row["class"] == class)
        .map_or(&Value::Null, |row| &row["level"])
}

fn report(set: &Set, format: &str) -> Result<Output> {
    let mut command = Command::new(path("almondwell")?);
    command.args(["report", "--format", format]);
    for entry in &set.entries {
        command.args(["--entry", &entry.admin.to_string()]);
    }
    Ok(output(&mut command)?)
}

fn stdout(output: &Output) -> Result<String> {
    let errors = String::from_utf8_lossy(&output.stderr);
    ensure!(output.status.success(), "{errors}");
    Ok(String::from_utf8(output.stdout.clone())?)
}
