//! Memory accounting for request bodies.

use std::rc::Rc;

use crate::gateway::Gateway;

/// Memory of a request body, accounted for until it is dropped.
pub(super) struct Allocation {
    gateway: Rc<Gateway>,
    bytes: usize,
}

impl Allocation {
    /// Accounts for `bytes`; returns `None` if all bodies together would exceed the memory limit.
    pub(super) fn new(gateway: &Rc<Gateway>, bytes: usize) -> Option<Self> {
        let total = gateway.body_bytes.get() + bytes;
        if bytes > 0 && total > gateway.settings().body_memory_bytes() {
            return None;
        }
        gateway.body_bytes.set(total);
        Some(Self { gateway: Rc::clone(gateway), bytes })
    }
}

impl Drop for Allocation {
    fn drop(&mut self) {
        let total = &self.gateway.body_bytes;
        total.set(total.get().saturating_sub(self.bytes));
    }
}
