//! Measurements of one quantity while another is varied.

use crate::fit::Fit;
use serde_json::{Value, json};

/// Measurements of one quantity while another is varied.
#[derive(Clone, Debug)]
pub(crate) struct Series {
    /// Varied quantity, with its unit.
    pub(crate) varied: &'static str,
    /// Measured quantity, with its unit.
    pub(crate) measured: &'static str,
    pub(crate) name: &'static str,
    /// Pairs of the varied and the measured value.
    pub(crate) points: Vec<(f64, f64)>,
}

impl Series {
    pub(crate) fn new(name: &'static str, measured: &'static str, varied: &'static str) -> Self {
        Self {
            varied,
            measured,
            name,
            points: Vec::new(),
        }
    }

    pub(crate) fn fit(&self) -> Fit {
        Fit::least_squares(&self.points)
    }

    pub(crate) fn json(&self) -> Value {
        json!({
            "against": self.varied,
            "fit": self.fit().json(),
            "measured": self.measured,
            "points": self.points,
        })
    }

    /// One-line summary: the points, the fitted line and its residual.
    pub(crate) fn summary(&self) -> String {
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
            self.varied,
            points.join(" "),
            fit.intercept,
            fit.slope,
            fit.residual
        )
    }
}
