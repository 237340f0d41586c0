//! Idempotency keys, by which repeats of an order are recognized.

use std::str::FromStr;

use xxhash_rust::xxh3::xxh3_128;

use crate::{Incarnation, Number, Session, session::Journal};

/// Maximum length of a key, in bytes.
const LENGTH_LIMIT: usize = 255;

/// Why the text of an idempotency key is invalid.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// The text is empty.
    #[error("the idempotency key is empty")]
    Empty,
    /// The text is longer than 255 bytes.
    #[error("the idempotency key has {0} bytes; at most {LENGTH_LIMIT} are taken")]
    Long(usize),
    /// The byte at this position is not visible ASCII.
    #[error("the idempotency key has a character that is not visible ASCII at byte {0}")]
    Character(usize),
    /// The text has the prefix of a session but is not a valid session.
    #[error("the key begins like a session's but is none; it reads <session>.<n>")]
    Session,
    /// The number after the session is missing, 0 or not a number.
    #[error("the order number after the session must be a whole number from 1")]
    Number,
}

/// Identifies one order.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Key {
    /// A number in a session that a daemon issued.
    Numbered {
        /// The session.
        session: Session,
        /// The number that the caller assigned.
        number: Number,
    },
    /// A key chosen by the caller, as its 128-bit digest.
    Own(u128),
}

impl Key {
    /// The incarnation that issued the order's session; `None` for a caller's own key.
    #[must_use]
    pub fn issuer(&self) -> Option<Incarnation> {
        match self {
            Self::Numbered { session, .. } => Some(session.incarnation),
            Self::Own(_) => None,
        }
    }

    /// Whether a record of the order is written to the issuer's stream before dispatch.
    #[must_use]
    pub fn is_journaled(&self) -> bool {
        matches!(self, Self::Numbered { session, .. } if session.journal != Journal::Off)
    }
}

impl FromStr for Key {
    type Err = Error;

    /// Parses the value of an `Idempotency-Key` header; enclosing quotes are removed.
    fn from_str(text: &str) -> Result<Self, Error> {
        let text = text.trim();
        let text = text.strip_prefix('"').and_then(|it| it.strip_suffix('"')).unwrap_or(text);
        check_text(text)?;
        if !Session::has_session_prefix(text) {
            return Ok(Self::Own(xxh3_128(text.as_bytes())));
        }
        let (session, number) = text.split_once('.').ok_or(Error::Number)?;
        let session = session.parse()?;
        let number = parse_number(number)?;
        Ok(Self::Numbered { session, number })
    }
}

fn check_text(text: &str) -> Result<(), Error> {
    if text.is_empty() {
        return Err(Error::Empty);
    }
    if text.len() > LENGTH_LIMIT {
        return Err(Error::Long(text.len()));
    }
    match text.bytes().position(|it| !it.is_ascii_graphic()) {
        Some(index) => Err(Error::Character(index)),
        None => Ok(()),
    }
}

/// Each number has exactly one accepted text, without sign or leading zeros.
fn parse_number(text: &str) -> Result<Number, Error> {
    let well_formed = text.bytes().all(|it| it.is_ascii_digit()) && !text.starts_with('0');
    if !well_formed {
        return Err(Error::Number);
    }
    text.parse().map_err(|_| Error::Number)
}
