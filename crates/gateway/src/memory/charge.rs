//! Bytes counted for one allocation.

use super::{Account, Kind};

/// Bytes counted in an account until they are dropped.
#[derive(Debug)]
pub struct Charge {
    account: Account,
    kind: Kind,
    bytes: usize,
}

impl Charge {
    pub(super) fn new(account: Account, kind: Kind) -> Self {
        Self { account, kind, bytes: 0 }
    }

    /// Bytes counted.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Sets the number of bytes counted.
    pub fn resize(&mut self, bytes: usize) {
        if bytes != self.bytes {
            self.account.replace(self.kind, self.bytes, bytes);
            self.bytes = bytes;
        }
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        self.resize(0);
    }
}
