//! Records of orders in the log.

use bytes::Bytes;

use crate::{Fingerprint, Incarnation, Key, Number, Outcome, Session, hex, session::Journal};

/// The only record format that this release writes and reads.
const FORMAT: u32 = 1;

/// Why a record can't be read.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Unreadable {
    /// The record has a format or kind that this release doesn't support, so its meaning is
    /// unknown.
    #[error("record has an unknown format or kind")]
    UnknownFormat,
    /// The record is not a JSON object with a format number; every release ignores it.
    #[error("malformed record: {0}")]
    Malformed(String),
}

/// A record in the log.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Record {
    format: u32,
    #[serde(flatten)]
    body: Body,
}

/// Content of a record.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "kebab-case", tag = "kind")]
pub enum Body {
    /// In a stream of orders, written by its incarnation: orders to be dispatched, and outcomes.
    Orders {
        /// Orders that may be dispatched once this record is read back.
        started: Vec<Started>,
        /// Orders that have an outcome.
        finished: Vec<Finished>,
    },
    /// In a stream of orders, written by any host: later `started` entries have no effect.
    Revoked {
        /// Incarnation that wrote the revocation.
        #[serde(with = "hex")]
        by: Incarnation,
    },
    /// In the stream of claims: keys whose orders the owner may dispatch, unless an earlier record
    /// claims them.
    Claims {
        /// Incarnation that claims the keys.
        #[serde(with = "hex")]
        owner: Incarnation,
        /// Keys claimed.
        claims: Vec<Claim>,
    },
}

/// An order of a journaled session that may be dispatched. Its JSON form is one short string,
/// because these entries make up most of the journal.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(into = "String", try_from = "String")]
pub struct Started {
    /// Nonce of the session.
    pub nonce: u64,
    /// Number in the session.
    pub number: Number,
    /// Fingerprint of the request's content.
    pub fingerprint: Fingerprint,
}

impl Started {
    /// The entry for an order of a journaled session; `None` for any other key.
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
            return Err("expected three parts: nonce, number, fingerprint");
        };
        let malformed = |_| "a part of the order is not a number";
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
    /// Fingerprint of the request's content.
    pub fingerprint: Fingerprint,
}

impl Claim {
    /// The entry for a caller's own key; `None` for any other key.
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

    /// Encodes the record for the log.
    ///
    /// # Panics
    ///
    /// Never, as all fields can be serialized to JSON.
    #[must_use]
    pub fn encode(&self) -> Bytes {
        serde_json::to_vec(self).expect("records have a JSON form").into()
    }

    /// Decodes a record.
    ///
    /// # Errors
    ///
    /// [`Unreadable::Malformed`] for a record that every release skips,
    /// [`Unreadable::UnknownFormat`] for one whose meaning is unknown to this release.
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
