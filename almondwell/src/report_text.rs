//! The service-level report as a table.

use crate::report_summary::{Level, Summary};
use std::fmt::Write;

const PERCENT: f64 = 100.0;

/// Formats the report with one line per tier, then one line per class.
pub(crate) fn table(summary: &Summary) -> String {
    let mut text = String::new();
    let _ = writeln!(
        text,
        "burn of {} entries; fast window {:.0} s, slow window {:.0} s",
        summary.entries.len(),
        summary.fast_window,
        summary.slow_window
    );
    let _ = writeln!(
        text,
        "\n{:<4} {:<16} {:<16} {:>7} {:>9} {:>7} {:>9} {:>9} {:>11}",
        "tier",
        "service",
        "class",
        "target",
        "good",
        "bad",
        "burn fast",
        "burn slow",
        "budget left"
    );
    for tier in &summary.tiers {
        write_line(&mut text, tier.tier, ["*", "*", ""], &tier.level);
    }
    for class in &summary.classes {
        let target = format!("{:.1}%", f64::from(class.attainment) / 10.0);
        let names = [&*class.service, &*class.class, &target];
        write_line(&mut text, class.tier, names, &class.level);
    }
    text
}

fn write_line(text: &mut String, tier: u8, [service, class, target]: [&str; 3], level: &Level) {
    let _ = writeln!(
        text,
        "{tier:<4} {service:<16} {class:<16} {target:>7} {:>9} {:>7} {:>9.2} {:>9.2} {:>10.1}%",
        level.good,
        level.bad,
        level.burn_fast,
        level.burn_slow,
        level.budget_left * PERCENT
    );
}
