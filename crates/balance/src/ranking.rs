//! The best candidates of one choice.

use crate::state::View;

/// A weighed upstream by its place in the balancer's list.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Place {
    pub(crate) index: usize,
    pub(crate) view: View,
}

/// The best candidates of one choice so far.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Ranking {
    pub(crate) best: Option<Place>,
    pub(crate) runner_up: Option<Place>,
    /// Upstreams that were weighed, with room or without.
    pub(crate) weighed: u32,
}

impl Ranking {
    /// Takes in an upstream with room; the earlier of two equal ones wins.
    pub(crate) fn offer(&mut self, place: Place) {
        if beats(&place, self.best.as_ref()) {
            self.runner_up = self.best.replace(place);
        } else if beats(&place, self.runner_up.as_ref()) {
            self.runner_up = Some(place);
        }
    }
}

fn beats(place: &Place, other: Option<&Place>) -> bool {
    other.is_none_or(|it| place.view.expected < it.view.expected)
}
