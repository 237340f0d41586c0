//! Records in the log.

use bytes::Bytes;

use crate::{Fingerprint, Incarnation, Key, Number, Outcome, Session, hex, session::Journal};

/// Format that this release writes, and the only one that it reads.
const FORMAT: u32 = 1;

/// Why a record can't be read.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Unreadable {
    /// Valid in a format that this release doesn't know: it may mean anything.
    #[error("record of an unknown format or kind")]
    UnknownFormat,
    /// No JSON object with a format number: no release ever acts on it.
    #[error("torn or foreign bytes: {0}")]
    Malformed(String),
}

/// A record in the log.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Record {
    format: u32,
    #[serde(flatten)]
    body: Body,
}

/// What a record says.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "kebab-case", tag = "kind")]
pub enum Body {
    /// In a stream of orders, by its incarnation: orders about to be dispatched, and outcomes.
    Orders {
        /// Orders that may be dispatched once this record is read back.
        started: Vec<Started>,
        /// Orders that have come to an outcome.
        finished: Vec<Finished>,
    },
    /// In a stream of orders, by any host: no later `started` record counts.
    Revoked {
        /// Incarnation that asks.
        #[serde(with = "hex")]
        by: Incarnation,
    },
    /// In the stream of claims: keys that the owner may dispatch if no earlier record claims them.
    Claims {
        /// Incarnation that claims.
        #[serde(with = "hex")]
        owner: Incarnation,
        /// Keys claimed.
        claims: Vec<Claim>,
    },
}

/// An order of a journaled session that may be dispatched. In JSON it is one short text, because
/// it makes up most of the journal.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(into = "String", try_from = "String")]
pub struct Started {
    /// Random part of the session.
    pub nonce: u64,
    /// Number in the session.
    pub number: Number,
    /// Content of the request.
    pub fingerprint: Fingerprint,
}

impl Started {
    /// The record's entry for a numbered order; nothing for another key.
    pub(crate) fn of(key: Key, fingerprint: Fingerprint) -> Option<Self> {
        let Key::Numbered { session: Session { nonce, journal: Journal::From(_), .. }, number } =
            key
        else {
            return None;
        };
        Some(Self { nonce, number, fingerprint })
    }
}

impl From<Started> for String {
    fn from(it: Started) -> Self {
        format!("{:x}.{}.{}", it.nonce, it.number, it.fingerprint)
    }
}

impl TryFrom<String> for Started {
    type Error = &'static str;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        let mut parts = text.split('.');
        let (Some(nonce), Some(number), Some(fingerprint), None) =
            (parts.next(), parts.next(), parts.next(), parts.next())
        else {
            return Err("an order has three parts");
        };
        let malformed = |_| "an order has a part that is no number";
        Ok(Self {
            nonce: u64::from_str_radix(nonce, 16).map_err(malformed)?,
            number: number.parse().map_err(malformed)?,
            fingerprint: u128::from_str_radix(fingerprint, 16)
                .map(Fingerprint)
                .map_err(malformed)?,
        })
    }
}

/// The outcome of an order of a journaled session.
#[derive(Clone, Debug, Eq, Hash, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Finished {
    /// The order.
    pub order: Started,
    /// Its outcome.
    pub outcome: Outcome,
}

/// A claim of a caller's own key.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Claim {
    /// Digest of the key.
    pub key: Fingerprint,
    /// Content of the request.
    pub fingerprint: Fingerprint,
}

impl Claim {
    /// The record's entry for a caller's own key; nothing for another key.
    pub(crate) fn of(key: Key, fingerprint: Fingerprint) -> Option<Self> {
        let Key::Own(digest) = key else { return None };
        Some(Self { key: Fingerprint(digest), fingerprint })
    }
}

impl Record {
    /// A record of the current format.
    #[must_use]
    pub fn new(body: Body) -> Self {
        Self { format: FORMAT, body }
    }

    /// The record as bytes for the log.
    ///
    /// # Panics
    ///
    /// Never: all fields have a JSON form.
    #[must_use]
    pub fn encode(&self) -> Bytes {
        serde_json::to_vec(self).expect("records have a JSON form").into()
    }

    /// Reads a record back.
    ///
    /// # Errors
    ///
    /// What speaks against the bytes; they are skipped, but see [`Unreadable::Foreign`].
    pub fn decode(bytes: &[u8]) -> Result<Body, Unreadable> {
        let json: serde_json::Value =
            serde_json::from_slice(bytes).map_err(|it| Unreadable::Malformed(it.to_string()))?;
        let format = json.get("format").and_then(serde_json::Value::as_u64);
        match format {
            None => Err(Unreadable::Malformed("no format number".to_owned())),
            Some(it) if it != u64::from(FORMAT) => Err(Unreadable::UnknownFormat),
            Some(_) => {
                let record: Self =
                    serde_json::from_value(json).map_err(|_| Unreadable::UnknownFormat)?;
                Ok(record.body)
            }
        }
    }
}
