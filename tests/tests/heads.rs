//! Answers of upstreams whose head breaks off, is preceded by interim responses or has unusual line breaks.

use crate::unframed::one_engine;
use eyre::{Result, ensure};
use fakes::set::Set;
use std::time::Duration;
use tests::cases;
use tests::raw_engine::{End, RawEngine, ask};

const INTERIM: &str = "HTTP/1.1 100 Continue\r\n\r\n";
const HINTS: &str = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n";
const BODY: &str = "{\"whole\": 1}";
/// Distance between the places at which a head breaks off.
const CUT_STEP: usize = 13;

cases! {
    // Guards against half of a head that reaches the caller as an empty answer.
    fails_a_head_that_breaks_off(one_engine()) = |set| breaks_off(set, "", End::Close);
    fails_a_head_that_is_reset(one_engine()) = |set| breaks_off(set, "", End::Reset);
    fails_a_head_that_breaks_off_after_an_interim_response(one_engine()) = |set| breaks_off(set, INTERIM, End::Close);
    // Guards against the verdict "not run" after an attempt that may have run, where the next one could not begin.
    fails_a_head_that_stops(one_engine()) = stops;
    // Guards against an interim response that is taken for the answer, with the answer as its body.
    relays_an_answer_after_an_interim_response(one_engine()) = |set| relays(set, [INTERIM, &framed()].concat());
    relays_an_answer_after_several_interim_responses(one_engine()) = |set| relays(set, [INTERIM, HINTS, &framed()].concat());
    relays_an_unframed_answer_after_an_interim_response(one_engine()) = |set| relays(set, [HINTS, &unframed()].concat());
    // Guards against the start of a body that is lost with a head of bare line feeds.
    relays_an_unframed_answer_with_bare_line_feeds(one_engine()) = |set| relays(set, unframed().replace("\r\n", "\n"));
    relays_an_unframed_answer_with_a_bare_last_line_feed(one_engine()) = |set| relays(set, unframed().replace("\r\n\r\n", "\r\n\n"));
    fails_an_unframed_answer_with_mixed_line_breaks(one_engine()) = mixes_line_breaks;
    // Guards against half of an answer of a killed upstream that reaches the caller as complete.
    fails_an_unframed_answer_whose_upstream_is_killed(one_engine()) = |set| is_killed(set, "{\"whole\":");
    // Guards against a part of an answer that counts as complete although its connection is reset.
    fails_an_unframed_answer_that_is_reset_after_its_end(one_engine()) = is_reset;
    fails_an_empty_answer_whose_upstream_is_killed(one_engine()) = |set| is_killed(set, "");
}

fn framed() -> String {
    let length = BODY.len();
    format!(
        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {length}\r\n\r\n{BODY}"
    )
}

fn unframed() -> String {
    format!("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n{BODY}")
}

async fn fails(mut set: Set, answer: &str, end: End) -> Result<()> {
    RawEngine::replace(&mut set, answer.as_bytes(), end).await?;
    let (response, body) = ask(&set, false).await?;
    let status = response.status();
    ensure!(status.is_server_error(), "{status}, {body:?}");
    let verdict = response.header("Almondwell-Verdict");
    let verdict = verdict.map(|values| values.as_str());
    ensure!(
        verdict == Some("may-have-run"),
        "{verdict:?}, {status}, {body:?}"
    );
    Ok(())
}

/// The head breaks off at several places, one after the other.
async fn breaks_off(mut set: Set, before: &str, end: End) -> Result<()> {
    let answer = framed();
    let length = answer.len() - BODY.len();
    let engine = RawEngine::replace(&mut set, b"", end).await?;
    for cut in (0..length).step_by(CUT_STEP).chain([length - 1]) {
        let part = [before, &answer[..cut]].concat();
        engine.set_answer(part.as_bytes(), end);
        let (response, body) = ask(&set, false).await?;
        let status = response.status();
        ensure!(status.is_server_error(), "cut at {cut}: {status}, {body:?}");
    }
    Ok(())
}

async fn stops(set: Set) -> Result<()> {
    fails(set, "HTTP/1.1 200 OK\r\nContent-Le", End::Silence).await
}

async fn relays(mut set: Set, answer: String) -> Result<()> {
    RawEngine::replace(&mut set, answer.as_bytes(), End::Close).await?;
    let (response, body) = ask(&set, false).await?;
    ensure!(response.status() == 200, "{response:?}, {body:?}");
    ensure!(body.as_deref() == Some(BODY), "{body:?}");
    Ok(())
}

async fn mixes_line_breaks(set: Set) -> Result<()> {
    let answer = unframed().replace("json\r\n\r\n", "json\n\r\n");
    fails(set, &answer, End::Close).await
}

async fn is_reset(set: Set) -> Result<()> {
    let end = End::HalfClose(Duration::from_millis(20));
    fails(set, &unframed(), end).await
}

async fn is_killed(set: Set, part: &str) -> Result<()> {
    let answer = unframed().replace(BODY, part);
    fails(set, &answer, End::Kill).await
}
