//! Running estimate of one quantile of a stream of values.

/// Estimate that follows a quantile of the observed values, which are above 0.
#[derive(Clone, Copy, Debug)]
pub struct Quantile {
    fraction: f64,
    step: f64,
    value: f64,
}

impl Quantile {
    /// An estimate of the quantile `fraction` that starts at `initial`. One value moves it by up to the share `step`.
    pub const fn new(initial: f64, fraction: f64, step: f64) -> Self {
        Self {
            fraction,
            step,
            value: initial.max(f64::MIN_POSITIVE),
        }
    }

    /// Moves the estimate towards `value`.
    pub fn observe(&mut self, value: f64) {
        if value < self.value {
            self.value *= 1.0 - self.step * (1.0 - self.fraction);
        } else {
            self.value *= 1.0 + self.step * self.fraction;
        }
    }

    /// The current estimate.
    pub const fn value(self) -> f64 {
        self.value
    }
}
