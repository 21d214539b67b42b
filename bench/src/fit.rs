//! Straight lines through measured points.

use serde_json::{Value, json};

/// A straight line and how far its points lie from it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Fit {
    pub(crate) intercept: f64,
    /// Root of the mean squared distance, in the unit of the ordinate.
    pub(crate) residual: f64,
    pub(crate) slope: f64,
}

impl Fit {
    /// Least squares through `points`, of which two at least differ in their abscissa.
    pub(crate) fn through(points: &[(f64, f64)]) -> Self {
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
        let squares: f64 = points
            .iter()
            .map(|(x, y)| (y - intercept - slope * x).powi(2))
            .sum();
        Self {
            intercept,
            residual: (squares / count).sqrt(),
            slope,
        }
    }

    /// Value of the line at `x`; a line that starts below zero starts at zero.
    pub(crate) fn at(&self, x: f64) -> f64 {
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
