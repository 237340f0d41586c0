//! Streams of the log that hold orders.

use std::fmt;

use crate::Incarnation;

/// A stream of the log.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Stream {
    /// Records of one incarnation's orders and its revocation.
    Orders(Incarnation),
    /// Claims of callers' own keys.
    Claims,
}

impl fmt::Display for Stream {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Orders(incarnation) => write!(f, "orders-{incarnation:016x}"),
            Self::Claims => f.write_str("order-claims"),
        }
    }
}
