//! Interface of the host list.

use crate::{Entry, Result};

/// The platform's list of entry hosts and backend servers; it may be out of date.
pub trait Hosts: Send + Sync {
    /// Returns all hosts in the list.
    ///
    /// # Errors
    ///
    /// [`Error::Unavailable`](crate::Error::Unavailable) if there is no usable answer.
    fn list(&self) -> Result<Vec<Entry>>;
}
