//! The ids of recent publications.

use std::{
    collections::{HashMap, VecDeque},
    sync::Arc,
};

use crate::{Offset, PublicationId};

/// Number of records after which a publication's base is too old and the publication is rejected.
///
/// A repeated publication has the same base as the first copy, so its base expires no later than
/// its id is dropped. Keeping the ids of this many records is therefore enough to apply every
/// publication at most once.
pub const WINDOW_RECORDS: Offset = 4_096;

/// The ids of recent publications, with the offsets at which they were evaluated.
#[derive(Clone, Debug, Default)]
pub(crate) struct Window {
    order: VecDeque<(Offset, PublicationId)>,
    offsets: HashMap<PublicationId, Offset>,
}

impl PartialEq for Window {
    fn eq(&self, other: &Self) -> bool {
        self.order == other.order
    }
}

impl Window {
    /// Drops the ids that are too old for a record at offset `now` to repeat.
    pub(crate) fn prune(&mut self, now: Offset) {
        while let Some((offset, _)) = self.order.front()
            && now.saturating_sub(*offset) > WINDOW_RECORDS
        {
            if let Some((_, id)) = self.order.pop_front() {
                self.offsets.remove(&id);
            }
        }
    }

    pub(crate) fn first(&self, id: &PublicationId) -> Option<Offset> {
        self.offsets.get(id).copied()
    }

    pub(crate) fn insert(&mut self, id: &PublicationId, offset: Offset) {
        self.order.push_back((offset, Arc::clone(id)));
        self.offsets.insert(Arc::clone(id), offset);
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &(Offset, PublicationId)> {
        self.order.iter()
    }
}
