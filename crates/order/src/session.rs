//! A caller's session with one incarnation of a daemon.

use std::{fmt, str::FromStr};

use crate::{Incarnation, Offset, key::Error};

/// Prefix of the text of a journaled session; the digit is the format.
const JOURNALED: &str = "fd1j";
/// Prefix of the text of an unjournaled session.
const UNJOURNALED: &str = "fd1u";

/// Whether a session's orders are written to the log before dispatch.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Journal {
    /// No: if the issuer dies, the outcome of an order is unknown.
    Off,
    /// Yes, in the issuer's stream, behind all records below this offset.
    ///
    /// A host that recovers the session needs every record from here on; where the log has dropped
    /// some of them, an absent order proves nothing.
    From(Offset),
}

/// A caller's session, good only with the incarnation that issued it.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Session {
    /// Incarnation that issued the session and alone dispatches its orders.
    pub incarnation: Incarnation,
    /// Random part, so that no caller guesses another's session.
    pub nonce: u64,
    /// Whether orders are journaled.
    pub journal: Journal,
}

impl Session {
    /// Whether `text` claims to be a session, well formed or not.
    pub(crate) fn is_claimed_by(text: &str) -> bool {
        text.starts_with(JOURNALED) || text.starts_with(UNJOURNALED)
    }
}

impl fmt::Display for Session {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { incarnation, nonce, .. } = self;
        match self.journal {
            Journal::Off => write!(f, "{UNJOURNALED}-{incarnation:016x}-{nonce:016x}"),
            Journal::From(base) => {
                write!(f, "{JOURNALED}-{incarnation:016x}-{nonce:016x}-{base:x}")
            }
        }
    }
}

impl FromStr for Session {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let parts: Vec<&str> = text.split('-').collect();
        let (incarnation, nonce, journal) = match *parts.as_slice() {
            [UNJOURNALED, incarnation, nonce] => (incarnation, nonce, Journal::Off),
            [JOURNALED, incarnation, nonce, base] => {
                (incarnation, nonce, Journal::From(parse_hex(base)?))
            }
            _ => return Err(Error::Session),
        };
        Ok(Self { incarnation: parse_hex(incarnation)?, nonce: parse_hex(nonce)?, journal })
    }
}

/// Lower-case hexadecimal only, so that a session has one text.
fn parse_hex(text: &str) -> Result<u64, Error> {
    let well_formed = text.bytes().all(|it| matches!(it, b'0'..=b'9' | b'a'..=b'f'));
    if !well_formed {
        return Err(Error::Session);
    }
    u64::from_str_radix(text, 16).map_err(|_| Error::Session)
}
