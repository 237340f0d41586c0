//! Where the daemon of a given incarnation is.

use crate::Address;

/// Where the daemon of a given incarnation is; a hint, on which nothing safe may rest.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Issuer {
    /// This daemon.
    Own,
    /// It was heard of not long ago at this address.
    At(Address),
    /// It is silent, but nothing says that it ended.
    Unresponsive(Address),
    /// Its address answers with a later incarnation.
    Replaced(Address),
    /// Never heard of, or forgotten.
    Unknown,
}
