//! Incarnations that have been replaced.

use std::collections::VecDeque;

use crate::{
    Address, Incarnation,
    rumor::{Tag, tag},
};

/// Most incarnations remembered.
const LIMIT: usize = 1_024;

/// Incarnations whose address has answered with a later one, the latest first.
#[derive(Debug, Default)]
pub(super) struct Former {
    known: VecDeque<(Incarnation, Address)>,
}

impl Former {
    pub(super) fn add(&mut self, incarnation: Incarnation, address: Address) {
        self.known.push_front((incarnation, address));
        self.known.truncate(LIMIT);
    }

    pub(super) fn address(&self, incarnation: Incarnation) -> Option<Address> {
        self.known.iter().find(|(it, _)| *it == incarnation).map(|(_, address)| *address)
    }

    /// Whether a rumor with this tag is about one of them.
    pub(super) fn has_tag(&self, wanted: Tag) -> bool {
        self.known.iter().any(|(it, _)| tag(*it) == wanted)
    }
}
