//! Least-squares fits of straight lines.

use serde_json::{Value, json};

/// A fitted line and its residual.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Fit {
    pub(crate) intercept: f64,
    /// Root mean square error, in the unit of y.
    pub(crate) residual: f64,
    pub(crate) slope: f64,
}

impl Fit {
    /// Fits a line to `points` by least squares; at least two points must differ in x.
    pub(crate) fn least_squares(points: &[(f64, f64)]) -> Self {
        let count = points.len() as f64;
        let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
        let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
        let covariance: f64 = points
            .iter()
            .map(|(x, y)| (x - mean_x) * (y - mean_y))
            .sum();
        let variance: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
        let slope = covariance / variance;
        let intercept = mean_y - slope * mean_x;
        let squared_error: f64 = points
            .iter()
            .map(|(x, y)| (y - intercept - slope * x).powi(2))
            .sum();
        Self {
            intercept,
            residual: (squared_error / count).sqrt(),
            slope,
        }
    }

    /// Predicted y at `x`, with a negative intercept taken as zero.
    pub(crate) fn predict(&self, x: f64) -> f64 {
        self.intercept.max(0.0) + self.slope * x
    }

    pub(crate) fn json(&self) -> Value {
        json!({
            "intercept": self.intercept,
            "residual": self.residual,
            "slope": self.slope,
        })
    }
}
