//! The best candidates of one choice.

use crate::state::View;

/// A weighed upstream by its place in the balancer's list.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Place {
    pub(crate) index: usize,
    pub(crate) view: View,
}

/// The candidates of one choice that have room.
#[derive(Debug, Default)]
pub(crate) struct Ranking {
    places: Vec<Place>,
    /// Upstreams that were weighed, with room or without.
    pub(crate) weighed: u32,
}

impl Ranking {
    /// Forgets the candidates of an earlier choice.
    pub(crate) fn clear(&mut self) {
        self.places.clear();
        self.weighed = 0;
    }

    /// Whether there is no candidate.
    pub(crate) fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    /// Takes in an upstream with room.
    pub(crate) fn offer(&mut self, place: Place) {
        self.places.push(place);
    }

    /// The best candidate and the next best; those up to `tie` times as far as the best count as
    /// equal to it and are chosen from at random.
    ///
    /// Without ties, small errors in the estimates would send all work of a quiet service to one
    /// upstream, and nothing would be learnt of the others.
    pub(crate) fn pick(&self, rng: &mut fastrand::Rng, tie: f64) -> Option<(Place, Option<Place>)> {
        let expected = |it: &Place| it.view.expected;
        let least = self.places.iter().map(expected).reduce(f64::min)?;
        let is_equal = |it: &&Place| expected(it) <= least * tie;
        let equal = self.places.iter().filter(is_equal).count();
        let best = self.places.iter().filter(is_equal).nth(rng.usize(..equal))?;
        let others = self.places.iter().filter(|it| it.index != best.index);
        let runner_up = others.min_by(|a, b| expected(a).total_cmp(&expected(b)));
        Some((*best, runner_up.copied()))
    }
}
