//! A running quantile.

/// Step of the logarithm for each observation; a greater one follows changes faster and errs more.
const STEP: f64 = 0.05;

/// Running estimate of a quantile, which follows changes within some hundred observations.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Quantile {
    share: f64,
    value: f64,
}

impl Quantile {
    /// The value that a share of `percent` stays below, from an `initial` guess above 0.
    pub(crate) fn new(percent: f64, initial: f64) -> Self {
        Self { share: (percent / 100.0).clamp(0.0, 1.0), value: initial }
    }

    /// Takes in an observation.
    ///
    /// The steps up and down balance when the share of observations below the value is right.
    pub(crate) fn observe(&mut self, it: f64) {
        let step = if it > self.value { self.share } else { self.share - 1.0 };
        self.value *= (STEP * step).exp();
    }

    /// The estimate.
    pub(crate) fn value(&self) -> f64 {
        self.value
    }
}
