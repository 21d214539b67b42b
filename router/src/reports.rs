//! Sends the usage report that the lease object holds to the provider.

use crate::metrics::DutyLabels;
use crate::router::Router;
use almondwell_platform::Provider;
use almondwell_platform::provider::Failure;
use almondwell_schema::LeaseReport;
use async_std::task;
use futures_lite::future::or;
use rand::Rng;
use std::sync::Arc;
use std::time::Duration;

/// Longest time of one call. The provider may be 50 times slower than the tens of milliseconds that it usually takes.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);
/// Interval between checks whether the lease is over; short against the margin before its end.
const END_POLL_PERIOD: Duration = Duration::from_millis(20);
/// Delay after the first failure; doubled with each further one.
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(200);
/// Longest delay after a failure; a report that is due must not wait long once the provider answers again.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(2);
/// Lowest rate in calls a second that is followed, so that a delay stays within the delay of a report.
const MIN_DUTY_RATE: f64 = 0.5;
/// Longest time without a look at the lease, which signals a report itself.
const IDLE_PERIOD: Duration = Duration::from_secs(5);

/// Sends the reports while this entry holds the lease, forever.
pub(crate) async fn send(router: Arc<Router>) {
    let Some(address) = router.settings.provider else {
        return;
    };
    let provider = Provider::new(address, router.settings.id.clone());
    let shortest_delay =
        Duration::from_secs(1).div_f64(router.settings.duty_rate.value().max(MIN_DUTY_RATE));
    let mut failures = 0;
    loop {
        if failures == 0 {
            router.duties.report_due(IDLE_PERIOD).await;
        } else {
            task::sleep(retry_delay(failures).max(shortest_delay)).await;
        }
        let now = router.boot_clock.now();
        let due = router
            .duties
            .lock()
            .report(now)
            .map(|(number, report)| (number, report.clone()));
        let Some((number, report)) = due else {
            failures = 0;
            continue;
        };
        let Some(_running) = router.duties.start_call() else {
            return;
        };
        if send_one(&router, &provider, number, &report).await {
            failures = 0;
            router.duties.lock().record_sent(report.window);
        } else {
            failures += 1;
        }
    }
}

/// Sends a report; returns whether the provider accepted it.
async fn send_one(router: &Router, provider: &Provider, number: u64, report: &LeaseReport) -> bool {
    let allowed_for = || {
        let now = router.boot_clock.now();
        router.duties.lock().allowed_for(now, number)
    };
    let call = async {
        let call = provider.report_usage(
            number,
            report.window,
            &report.counts,
            CALL_TIMEOUT,
            allowed_for,
        );
        Some(call.await)
    };
    let result = or(call, async {
        lease_ended(router).await;
        None
    })
    .await;
    let (label, status) = match &result {
        None => ("aborted", 0),
        Some(Ok(())) => ("accepted", 200),
        Some(Err(Failure::Forbidden)) => ("not_sent", 0),
        Some(Err(Failure::Refused(status))) => ("refused", *status),
        Some(Err(Failure::Unanswered(_))) => ("unanswered", 0),
    };
    if matches!(label, "aborted" | "unanswered") {
        router.duties.record_unanswered(router.boot_clock.now());
    }
    let labels = DutyLabels { result: label };
    router.metrics.duty_calls.get_or_create(&labels).inc();
    let window = report.window;
    if label == "accepted" {
        spdlog::info!("usage reported", kv: {
            window, number, requests = report.counts.values().sum::<u64>()
        });
    } else {
        spdlog::warn!("usage report failed", kv: { window, number, result = label, status });
    }
    label == "accepted"
}

/// Returns when the lease, including its renewals, is over.
async fn lease_ended(router: &Router) {
    loop {
        let now = router.boot_clock.now();
        match router.duties.lock().end() {
            Some(end) if now < end => {}
            Some(_) | None => return,
        }
        task::sleep(END_POLL_PERIOD).await;
    }
}

/// Delay after `failures` consecutive failures, with jitter.
fn retry_delay(failures: u32) -> Duration {
    let doubled = INITIAL_RETRY_DELAY.saturating_mul(1 << failures.saturating_sub(1).min(8));
    doubled
        .min(MAX_RETRY_DELAY)
        .mul_f64(rand::rng().random_range(0.5..1.0))
}
