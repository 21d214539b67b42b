//! Target lines and JSON that end each measurement.

use eyre::Result;
use serde_json::{Value, json};
use std::path::PathBuf;

/// A figure beside its bound.
#[derive(Clone, Debug)]
pub(crate) struct Target {
    pub(crate) bound: f64,
    pub(crate) figure: f64,
    pub(crate) name: Box<str>,
    /// Whether the figure has to stay below the bound, or above it.
    pub(crate) side: Side,
}

/// Side of its bound on which a figure has to stay.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Side {
    Above,
    Below,
}

impl Target {
    /// A figure that may be at most `bound`.
    pub(crate) fn below(name: &str, figure: f64, bound: f64) -> Self {
        Self {
            bound,
            figure,
            name: name.into(),
            side: Side::Below,
        }
    }

    /// A figure that must be at least `bound`.
    pub(crate) fn above(name: &str, figure: f64, bound: f64) -> Self {
        Self {
            side: Side::Above,
            ..Self::below(name, figure, bound)
        }
    }

    pub(crate) fn is_met(&self) -> bool {
        match self.side {
            Side::Above => self.figure >= self.bound,
            Side::Below => self.figure <= self.bound,
        }
    }

    fn verdict(&self) -> &'static str {
        if self.is_met() { "met" } else { "missed" }
    }
}

/// Writes `target/NAME.json` and prints one line per target and the seed.
pub(crate) fn finish(name: &str, seed: u64, result: &Value, targets: &[Target]) -> Result<()> {
    let folder = PathBuf::from("target");
    std::fs::create_dir_all(&folder)?;
    let rows: Vec<_> = targets
        .iter()
        .map(|target| {
            json!({
                "bound": target.bound,
                "figure": target.figure,
                "met": target.is_met(),
                "name": &*target.name,
            })
        })
        .collect();
    let page = json!({"measurement": name, "result": result, "seed": seed, "targets": rows});
    let file = folder.join(format!("{name}.json"));
    std::fs::write(file, serde_json::to_string_pretty(&page)?)?;
    for target in targets {
        println!(
            "target {} {:.4} {} {}",
            target.name,
            target.figure,
            target.bound,
            target.verdict()
        );
    }
    println!("seed {seed}");
    Ok(())
}
