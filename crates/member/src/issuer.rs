//! Lookup of the daemon with a given incarnation.

use crate::Address;

/// Result of looking up the daemon with a given incarnation. It is only a hint, on which safety
/// must not depend.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Issuer {
    /// The incarnation is this daemon's.
    Own,
    /// The daemon is a member at this address that isn't suspected.
    At(Address),
    /// The daemon is a suspected member at this address; it may still be running.
    Unresponsive(Address),
    /// A daemon of another incarnation has since answered at the daemon's address.
    Replaced(Address),
    /// No daemon of this incarnation is known, or it has been removed.
    Unknown,
}
