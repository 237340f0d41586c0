//! A place in the queue.

use super::Desk;

/// A place in the queue of a desk, given up when dropped.
pub(super) struct Ticket<'a> {
    pub(super) desk: &'a Desk,
    pub(super) priority: u8,
    pub(super) serial: u64,
}

impl Drop for Ticket<'_> {
    fn drop(&mut self) {
        self.desk.queue.borrow_mut().remove(self.priority, self.serial);
        self.desk.waiting.borrow_mut().remove(&self.serial);
    }
}
