//! Entry in the queue.

use super::Dispatcher;

/// Entry in the queue of a dispatcher, removed when dropped.
pub(super) struct Entry<'a> {
    pub(super) dispatcher: &'a Dispatcher,
    pub(super) serial: u64,
    /// Whether the request may be sent to some failure domains only.
    pub(super) is_restricted: bool,
}

impl Drop for Entry<'_> {
    fn drop(&mut self) {
        let restricted = &self.dispatcher.restricted;
        restricted.set(restricted.get() - usize::from(self.is_restricted));
        self.dispatcher.queue.borrow_mut().remove(self.serial);
        self.dispatcher.waiting.borrow_mut().remove(&self.serial);
    }
}
