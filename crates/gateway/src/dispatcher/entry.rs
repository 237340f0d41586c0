//! Entry in the queue.

use super::Dispatcher;

/// Entry in the queue of a dispatcher, removed when dropped.
pub(super) struct Entry<'a> {
    pub(super) dispatcher: &'a Dispatcher,
    pub(super) serial: u64,
}

impl Drop for Entry<'_> {
    fn drop(&mut self) {
        self.dispatcher.queue.borrow_mut().remove(self.serial);
        self.dispatcher.waiting.borrow_mut().remove(&self.serial);
    }
}
