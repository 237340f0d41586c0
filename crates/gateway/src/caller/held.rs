//! Memory that the bodies of requests in work hold.

use std::rc::Rc;

use crate::gateway::Gateway;

/// Bytes of a body, counted until they are dropped.
pub(super) struct Held {
    gateway: Rc<Gateway>,
    bytes: usize,
}

impl Held {
    /// Counts `bytes`; none if all bodies together would take more memory than they may.
    pub(super) fn take(gateway: &Rc<Gateway>, bytes: usize) -> Option<Self> {
        let total = gateway.body_bytes.get() + bytes;
        if bytes > 0 && total > gateway.settings().body_memory_bytes() {
            return None;
        }
        gateway.body_bytes.set(total);
        Some(Self { gateway: Rc::clone(gateway), bytes })
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        let held = &self.gateway.body_bytes;
        held.set(held.get().saturating_sub(self.bytes));
    }
}
