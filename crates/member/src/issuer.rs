//! Lookup of the daemon with a given incarnation.

use crate::Address;

/// Result of looking up the daemon with a given incarnation. It is only a hint, on which safety
/// must not depend.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Issuer {
    /// It is this daemon.
    Own,
    /// It is a member at this address that isn't suspected.
    At(Address),
    /// It is a suspected member at this address; it may still be running.
    Unresponsive(Address),
    /// A daemon of another incarnation has answered at its address since.
    Replaced(Address),
    /// It isn't known, or no longer.
    Unknown,
}
