//! Estimates of service times.

mod support;

use almondwell_core::ServiceTimes;
use std::time::Duration;

cases! {
    returns_a_default_without_samples = check_default();
    averages_the_samples_of_a_class = check_class();
    prefers_the_mean_of_a_workspace = check_workspace();
    adapts_to_a_change = check_change();
    high_quantiles_show_stragglers = check_quantile();
}

fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

fn check_default() {
    assert_eq!(
        ServiceTimes::default().service_time("review", "retail"),
        seconds(1.0)
    );
}

fn check_class() {
    let mut service_times = ServiceTimes::default();
    service_times.record("review", "retail", seconds(4.0));
    service_times.record("review", "retail", seconds(6.0));
    assert_eq!(
        service_times.service_time("review", "wholesale"),
        seconds(5.0)
    );
}

fn check_workspace() {
    let mut service_times = ServiceTimes::default();
    for _ in 0..50 {
        service_times.record("review", "retail", seconds(2.0));
        service_times.record("review", "wholesale", seconds(8.0));
    }
    assert_eq!(service_times.service_time("review", "retail"), seconds(2.0));
    assert_eq!(
        service_times.service_time("review", "wholesale"),
        seconds(8.0)
    );
}

fn check_change() {
    let mut service_times = ServiceTimes::default();
    for time in [2.0, 8.0] {
        for _ in 0..200 {
            service_times.record("review", "retail", seconds(time));
        }
    }
    assert!(service_times.service_time("review", "retail") > seconds(7.5));
}

fn check_quantile() {
    let mut service_times = ServiceTimes::default();
    for sample in 0..100 {
        let time = if sample < 97 { 1.0 } else { 20.0 };
        service_times.record("review", "retail", seconds(time));
    }
    assert!(service_times.quantile("review", 0.9) < seconds(1.2));
    assert!(service_times.quantile("review", 0.99) > seconds(15.0));
}
