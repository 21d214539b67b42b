//! Targets of the benchmarks, and the report that ends each benchmark.

use eyre::Result;
use serde_json::{Value, json};
use std::path::PathBuf;

/// A measured value and the bound that it must meet.
#[derive(Clone, Debug)]
pub(crate) struct Target {
    pub(crate) bound: f64,
    pub(crate) value: f64,
    pub(crate) name: Box<str>,
    pub(crate) comparison: Comparison,
}

/// How a value must compare with its bound.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Comparison {
    AtLeast,
    AtMost,
}

impl Target {
    /// A target that is met if `value` is at most `bound`.
    pub(crate) fn at_most(name: &str, value: f64, bound: f64) -> Self {
        Self {
            bound,
            value,
            name: name.into(),
            comparison: Comparison::AtMost,
        }
    }

    /// A target that is met if `value` is at least `bound`.
    pub(crate) fn at_least(name: &str, value: f64, bound: f64) -> Self {
        Self {
            comparison: Comparison::AtLeast,
            ..Self::at_most(name, value, bound)
        }
    }

    pub(crate) fn is_met(&self) -> bool {
        match self.comparison {
            Comparison::AtLeast => self.value >= self.bound,
            Comparison::AtMost => self.value <= self.bound,
        }
    }

    fn label(&self) -> &'static str {
        if self.is_met() { "met" } else { "missed" }
    }
}

/// Writes `target/NAME.json`, then prints one line per target and the seed.
pub(crate) fn write_report(
    name: &str,
    seed: u64,
    result: &Value,
    targets: &[Target],
) -> Result<()> {
    let directory = PathBuf::from("target");
    std::fs::create_dir_all(&directory)?;
    let rows: Vec<_> = targets
        .iter()
        .map(|target| {
            json!({
                "bound": target.bound,
                "figure": target.value,
                "met": target.is_met(),
                "name": &*target.name,
            })
        })
        .collect();
    let report = json!({"measurement": name, "result": result, "seed": seed, "targets": rows});
    let path = directory.join(format!("{name}.json"));
    std::fs::write(path, serde_json::to_string_pretty(&report)?)?;
    for target in targets {
        println!(
            "target {} {:.4} {} {}",
            target.name,
            target.value,
            target.bound,
            target.label()
        );
    }
    println!("seed {seed}");
    Ok(())
}
