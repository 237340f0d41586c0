//! Ranking of the candidates of one choice.

use crate::state::Estimate;

/// A weighed upstream, by its index in the pool, with its estimate.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Score {
    pub(crate) index: usize,
    pub(crate) estimate: Estimate,
}

/// The candidates of one choice that have room.
#[derive(Debug, Default)]
pub(crate) struct Ranking {
    scores: Vec<Score>,
    /// Number of upstreams that were weighed, with room or without.
    pub(crate) weighed: u32,
}

impl Ranking {
    /// Removes the candidates of an earlier choice.
    pub(crate) fn clear(&mut self) {
        self.scores.clear();
        self.weighed = 0;
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.scores.is_empty()
    }

    /// Adds an upstream with room.
    pub(crate) fn push(&mut self, score: Score) {
        self.scores.push(score);
    }

    /// The best candidate and the runner-up. Candidates with up to `tie` times the best expected
    /// time count as equal to the best, and one of them is chosen at random.
    ///
    /// Without ties, small estimation errors would send all requests of a service with little load
    /// to one upstream, and the estimates of the others would never be updated.
    pub(crate) fn pick(&self, rng: &mut fastrand::Rng, tie: f64) -> Option<(Score, Option<Score>)> {
        let expected = |it: &Score| it.estimate.expected;
        let best_expected = self.scores.iter().map(expected).reduce(f64::min)?;
        let is_equal = |it: &&Score| expected(it) <= best_expected * tie;
        let equal = self.scores.iter().filter(is_equal).count();
        let best = self.scores.iter().filter(is_equal).nth(rng.usize(..equal))?;
        let others = self.scores.iter().filter(|it| it.index != best.index);
        let runner_up = others.min_by(|a, b| expected(a).total_cmp(&expected(b)));
        Some((*best, runner_up.copied()))
    }
}
