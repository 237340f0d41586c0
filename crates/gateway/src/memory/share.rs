//! Memory of an answer that is being read.

use super::{Charge, Memory};

/// Size up to which an answer is read whatever the others use, in bytes, so that a few endless
/// answers don't fail the usual ones. Memory that it exceeds the limit by is taken from others.
pub(super) const FREE_BYTES: usize = 256 << 10;

/// Memory of an answer that is being read.
#[derive(Debug)]
pub struct Share {
    memory: Memory,
    charge: Charge,
}

impl Share {
    pub(super) fn new(memory: Memory, charge: Charge) -> Self {
        Self { memory, charge }
    }

    /// Sets the size of the answer; returns whether it may use so much.
    #[must_use]
    pub fn resize(&mut self, bytes: usize) -> bool {
        self.charge.resize(bytes);
        self.memory.allows_answer(bytes)
    }
}
