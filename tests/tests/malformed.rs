//! Answers of upstreams that are not valid HTTP/1.1: none reaches its caller as an answer.

use crate::unframed::one_engine;
use eyre::{Result, ensure};
use fakes::malformed::{bodies, heads};
use fakes::set::Set;
use tests::cases;
use tests::raw_engine::{End, RawEngine, ask};

const BODY: &str = "{\"whole\": 1}";
const HEADERS: &str = "Content-Type: application/json\r\n";

cases! {
    // Guards against bytes that are no answer in HTTP and reach the caller, and against a side that ends by them.
    fails_malformed_heads(one_engine()) = |set| fails(set, heads(HEADERS, BODY), false);
    // Guards against a part of a body that looks complete since the rest of it is taken for trailers.
    fails_malformed_chunks(one_engine()) = |set| fails(set, bodies(HEADERS, BODY), true);
    // Guards against a call without an answer after a value that the HTTP client cannot hold.
    fails_a_value_beyond_ascii(one_engine()) = |set| fails(set, vec![beyond_ascii()], false);
}

fn beyond_ascii() -> Vec<u8> {
    let length = BODY.len();
    format!("HTTP/1.1 200 OK\r\n{HEADERS}X-Name: \u{e9}\r\nContent-Length: {length}\r\n\r\n{BODY}")
        .into_bytes()
}

/// `may_begin`: whether the caller may get the start of an answer that is then aborted.
async fn fails(mut set: Set, answers: Vec<Vec<u8>>, may_begin: bool) -> Result<()> {
    let engine = RawEngine::replace(&mut set, b"", End::Close).await?;
    for (number, answer) in answers.iter().enumerate() {
        let bytes = String::from_utf8_lossy(answer);
        engine.set_answer(answer, End::Close);
        let (response, body) = ask(&set, false).await?;
        let status = response.status();
        ensure!(
            status.is_server_error() || (may_begin && body.is_none()),
            "{number}: {bytes:?} reaches the caller as {status}, {body:?}"
        );
        let verdict = response.header("Almondwell-Verdict");
        let verdict = verdict.map(|values| values.as_str().to_string());
        ensure!(
            status == 200 || verdict.as_deref() == Some("may-have-run"),
            "{number}: {bytes:?} is answered with {verdict:?}, {status}, {body:?}"
        );
    }
    Ok(())
}
