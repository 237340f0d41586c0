//! Incarnations that have been replaced.

use std::collections::VecDeque;

use crate::{
    Address, Incarnation,
    rumor::{Tag, tag},
};

/// Maximum number of stored incarnations.
const LIMIT: usize = 1_024;

/// Incarnations whose address has answered with another one since, most recently replaced first.
#[derive(Debug, Default)]
pub(super) struct Replaced {
    incarnations: VecDeque<(Incarnation, Address)>,
}

impl Replaced {
    pub(super) fn add(&mut self, incarnation: Incarnation, address: Address) {
        self.incarnations.push_front((incarnation, address));
        self.incarnations.truncate(LIMIT);
    }

    pub(super) fn address(&self, incarnation: Incarnation) -> Option<Address> {
        self.incarnations.iter().find(|(it, _)| *it == incarnation).map(|(_, address)| *address)
    }

    /// Whether one of the incarnations has this tag.
    pub(super) fn has_tag(&self, wanted: Tag) -> bool {
        self.incarnations.iter().any(|(it, _)| tag(*it) == wanted)
    }
}
