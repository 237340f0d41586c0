//! A caller's session with one incarnation of a daemon.

use std::{fmt, str::FromStr};

use crate::{Incarnation, Offset, key::Error};

/// Prefix of the text of a journaled session; the digit is the format version.
const JOURNALED: &str = "fd1j";
/// Prefix of the text of an unjournaled session.
const UNJOURNALED: &str = "fd1u";

/// Whether a session's orders are written to the log before dispatch.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Journal {
    /// They are not. If the issuer crashes, the outcomes of its orders are unknown.
    Off,
    /// They are written to the issuer's stream, at this offset or later.
    ///
    /// A host that recovers the session needs every record from this offset on. If the log has
    /// dropped some of them, the absence of an order does not prove that it was not dispatched.
    From(Offset),
}

/// A caller's session, valid only with the incarnation that issued it.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Session {
    /// Incarnation that issued the session; only it dispatches the session's orders.
    pub incarnation: Incarnation,
    /// Random number, so that callers can't guess each other's sessions.
    pub nonce: u64,
    /// Whether orders are journaled.
    pub journal: Journal,
}

impl Session {
    /// Whether `text` starts with the prefix of a session; it need not be valid.
    pub(crate) fn has_session_prefix(text: &str) -> bool {
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

/// Accepts only lower-case hexadecimal, so that each session has exactly one text.
fn parse_hex(text: &str) -> Result<u64, Error> {
    let well_formed = text.bytes().all(|it| matches!(it, b'0'..=b'9' | b'a'..=b'f'));
    if !well_formed {
        return Err(Error::Session);
    }
    u64::from_str_radix(text, 16).map_err(|_| Error::Session)
}
