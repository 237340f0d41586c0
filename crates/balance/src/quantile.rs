//! A running quantile.

/// Step of the value's natural logarithm for each observation; a larger step follows changes faster, with a
/// larger error.
const STEP: f64 = 0.05;

/// Running estimate of a quantile, which follows changes within a few hundred observations.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Quantile {
    share: f64,
    value: f64,
}

impl Quantile {
    /// An estimate of the `percent`th percentile, starting at `initial`, which must be above 0.
    pub(crate) fn new(percent: f64, initial: f64) -> Self {
        Self { share: (percent / 100.0).clamp(0.0, 1.0), value: initial }
    }

    /// Records an observation.
    ///
    /// The steps up and down cancel out when the intended share of observations is below the value.
    pub(crate) fn observe(&mut self, it: f64) {
        let step = if it > self.value { self.share } else { self.share - 1.0 };
        self.value *= (STEP * step).exp();
    }

    pub(crate) fn value(&self) -> f64 {
        self.value
    }
}
