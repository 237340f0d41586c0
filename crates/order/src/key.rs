//! The key that makes the copies of one order recognizable.

use std::str::FromStr;

use xxhash_rust::xxh3::xxh3_128;

use crate::{Incarnation, Number, Session, session::Journal};

/// Longest key in bytes.
const LENGTH_LIMIT: usize = 255;

/// What is wrong with the text of an idempotency key.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// No text at all.
    #[error("the idempotency key is empty")]
    Empty,
    /// Longer than 255 bytes.
    #[error("the idempotency key has {0} bytes; at most {LENGTH_LIMIT} are taken")]
    Long(usize),
    /// A byte that is not visible ASCII.
    #[error("the idempotency key has a character that is not visible ASCII at byte {0}")]
    Character(usize),
    /// Begins like a session and is none.
    #[error("the key begins like a session's but is none; it reads <session>.<n>")]
    Session,
    /// The number after the session is missing, 0 or no number.
    #[error("the order number after the session must be a whole number from 1")]
    Number,
}

/// Names one order.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Key {
    /// A number in a session that a daemon issued.
    Numbered {
        /// The session.
        session: Session,
        /// The caller's number.
        number: Number,
    },
    /// A key of the caller's own making, as its 128-bit digest.
    Own(u128),
}

impl Key {
    /// The incarnation that issued the order's session; nothing for a key of the caller's own.
    #[must_use]
    pub fn issuer(&self) -> Option<Incarnation> {
        match self {
            Self::Numbered { session, .. } => Some(session.incarnation),
            Self::Own(_) => None,
        }
    }

    /// Whether a dispatch of the order is preceded by a record in the issuer's stream.
    #[must_use]
    pub fn is_journaled(&self) -> bool {
        matches!(self, Self::Numbered { session, .. } if session.journal != Journal::Off)
    }
}

impl FromStr for Key {
    type Err = Error;

    /// Parses the value of an `Idempotency-Key` header; quotes around the whole are dropped.
    fn from_str(text: &str) -> Result<Self, Error> {
        let text = text.trim();
        let text = text.strip_prefix('"').and_then(|it| it.strip_suffix('"')).unwrap_or(text);
        check_text(text)?;
        if !Session::is_claimed_by(text) {
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
        Some(place) => Err(Error::Character(place)),
        None => Ok(()),
    }
}

/// One text a number: no sign, no leading zero.
fn parse_number(text: &str) -> Result<Number, Error> {
    let well_formed = text.bytes().all(|it| it.is_ascii_digit()) && !text.starts_with('0');
    if !well_formed {
        return Err(Error::Number);
    }
    text.parse().map_err(|_| Error::Number)
}
