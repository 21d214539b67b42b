//! Counters read from a process's metrics page.

use eyre::{Result, WrapErr};
use fakes::http::{call, request};
use http_types::Method;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Values by metric name, without the prefix `almondwell_` or `almondwell_side_` and the suffix `_total`.
pub(crate) type Counters = BTreeMap<String, f64>;

/// Reads the unlabelled counters from the admin address `admin`.
pub(crate) async fn read(admin: SocketAddr) -> Result<Counters> {
    let metrics_request = request(Method::Get, admin, "/metrics", &[], "");
    let answer = call(admin, metrics_request, CALL_TIMEOUT)
        .await
        .wrap_err_with(|| format!("cannot read `/metrics` at {admin}"))?;
    Ok(parse(&answer.text()))
}

fn parse(text: &str) -> Counters {
    text.lines()
        .filter(|line| !line.starts_with('#') && !line.contains('{'))
        .filter_map(|line| {
            let (name, value) = line.split_once(' ')?;
            let name = name.strip_suffix("_total").unwrap_or(name);
            let name = name
                .trim_start_matches("almondwell_side_")
                .trim_start_matches("almondwell_");
            Some((name.to_string(), value.parse().ok()?))
        })
        .collect()
}

/// Sum of the counters `names`; a missing counter counts as 0.
pub(crate) fn sum(counters: &Counters, names: &[&str]) -> f64 {
    names.iter().filter_map(|name| counters.get(*name)).sum()
}
