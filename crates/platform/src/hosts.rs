//! The host list as an interface.

use crate::{Entry, Result};

/// The platform's list of hosts, entry hosts and backend servers alike; it lags behind the truth.
pub trait Hosts: Send + Sync {
    /// Returns all hosts that the platform knows.
    ///
    /// # Errors
    ///
    /// [`Error::Unavailable`](crate::Error::Unavailable) if there is no usable answer.
    fn list(&self) -> Result<Vec<Entry>>;
}
