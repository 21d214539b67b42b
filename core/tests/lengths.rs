//! Estimates of place times.

mod support;

use almondwell_core::Lengths;
use std::time::Duration;

cases! {
    guesses_before_the_first_sample = check_guess();
    learns_a_class = check_class();
    tells_a_workspace_from_its_class = check_workspace();
    follows_a_change = check_change();
    tells_stragglers_by_quantile = check_quantile();
}

fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

fn check_guess() {
    assert_eq!(Lengths::default().place("review", "retail"), seconds(1.0));
}

fn check_class() {
    let mut lengths = Lengths::default();
    lengths.record("review", "retail", seconds(4.0));
    lengths.record("review", "retail", seconds(6.0));
    assert_eq!(lengths.place("review", "wholesale"), seconds(5.0));
}

fn check_workspace() {
    let mut lengths = Lengths::default();
    for _ in 0..50 {
        lengths.record("review", "retail", seconds(2.0));
        lengths.record("review", "wholesale", seconds(8.0));
    }
    assert_eq!(lengths.place("review", "retail"), seconds(2.0));
    assert_eq!(lengths.place("review", "wholesale"), seconds(8.0));
}

fn check_change() {
    let mut lengths = Lengths::default();
    for length in [2.0, 8.0] {
        for _ in 0..200 {
            lengths.record("review", "retail", seconds(length));
        }
    }
    assert!(lengths.place("review", "retail") > seconds(7.5));
}

fn check_quantile() {
    let mut lengths = Lengths::default();
    for sample in 0..100 {
        let length = if sample < 97 { 1.0 } else { 20.0 };
        lengths.record("review", "retail", seconds(length));
    }
    assert!(lengths.quantile("review", 0.9) < seconds(1.2));
    assert!(lengths.quantile("review", 0.99) > seconds(15.0));
}
