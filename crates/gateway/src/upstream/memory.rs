//! Accounting for the memory of answers that are being read.

use std::{cell::Cell, rc::Rc};

/// Size up to which an answer is read whatever the others use, in bytes, so that a few endless
/// answers don't fail the usual ones.
const FREE_BYTES: usize = 256 << 10;

/// Memory for the answers that a daemon is reading.
#[derive(Clone, Debug)]
pub struct Memory {
    limit: usize,
    used: Rc<Cell<usize>>,
}

impl Memory {
    /// Creates an account of `limit` bytes.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self { limit, used: Rc::default() }
    }

    /// Bytes in use.
    #[must_use]
    pub fn used(&self) -> usize {
        self.used.get()
    }

    /// Opens the share of one answer, which ends when it is dropped.
    #[must_use]
    pub fn share(&self) -> Share {
        Share { memory: self.clone(), bytes: 0 }
    }
}

/// Memory of one answer.
#[derive(Debug)]
pub struct Share {
    memory: Memory,
    bytes: usize,
}

impl Share {
    /// Sets the size of the answer; returns whether it may use so much.
    #[must_use]
    pub fn resize(&mut self, bytes: usize) -> bool {
        let used = self.memory.used.get() - self.bytes + bytes;
        self.memory.used.set(used);
        self.bytes = bytes;
        bytes <= FREE_BYTES || used <= self.memory.limit
    }
}

impl Drop for Share {
    fn drop(&mut self) {
        let used = &self.memory.used;
        used.set(used.get() - self.bytes);
    }
}
