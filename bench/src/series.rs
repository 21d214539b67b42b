//! One quantity measured against another.

use crate::fit::Fit;
use serde_json::{Value, json};

/// One quantity measured against another.
#[derive(Clone, Debug)]
pub(crate) struct Series {
    /// What is varied, with its unit.
    pub(crate) against: &'static str,
    /// What is measured, with its unit.
    pub(crate) measured: &'static str,
    pub(crate) name: &'static str,
    pub(crate) points: Vec<(f64, f64)>,
}

impl Series {
    pub(crate) fn new(name: &'static str, measured: &'static str, against: &'static str) -> Self {
        Self {
            against,
            measured,
            name,
            points: Vec::new(),
        }
    }

    pub(crate) fn fit(&self) -> Fit {
        Fit::through(&self.points)
    }

    pub(crate) fn json(&self) -> Value {
        json!({
            "against": self.against,
            "fit": self.fit().json(),
            "measured": self.measured,
            "points": self.points,
        })
    }

    /// One line for people: the points, the slope and the residual.
    pub(crate) fn line(&self) -> String {
        let points: Vec<_> = self
            .points
            .iter()
            .map(|(x, y)| format!("{x:.0}:{y:.4}"))
            .collect();
        let fit = self.fit();
        format!(
            "{:<28} {} by {}: {}; {:.3e} + {:.3e} x, residual {:.1e}",
            self.name,
            self.measured,
            self.against,
            points.join(" "),
            fit.intercept,
            fit.slope,
            fit.residual
        )
    }
}
