//! Messages of the HTTP protocol, for the client and for stand-ins of the service.
//!
//! - `POST /streams/NAME` with the record as body answers [`Appended`].
//! - `GET /streams/NAME?from=N&limit=M` answers [`Page`], or status 410 with [`Gone`].
//! - `GET /hosts` answers [`Hosts`].
//!
//! Record content is base64 in JSON: streams are shared, and foreign records may not be text.

use base64::{Engine, prelude::BASE64_STANDARD};
use bytes::Bytes;

use crate::{Entry, Offset};

/// Answer to an append.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Appended {
    /// Offset of the new record.
    pub offset: Offset,
}

/// Answer to a read before the oldest record.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Gone {
    /// Oldest offset in the stream.
    pub first: Offset,
}

/// Answer to a read.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Page {
    /// Oldest offset in the stream.
    pub first: Offset,
    /// Offset at which to read on.
    pub next: Offset,
    /// Records in the order of their offsets.
    pub records: Vec<Record>,
}

/// A record in a [`Page`].
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Record {
    /// Position in the stream.
    pub offset: Offset,
    /// Content in base64.
    pub data: String,
}

/// Answer to a request for the host list.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Hosts {
    /// All hosts.
    pub hosts: Vec<Entry>,
}

impl From<&crate::Record> for Record {
    fn from(record: &crate::Record) -> Self {
        Self { offset: record.offset, data: BASE64_STANDARD.encode(&record.data) }
    }
}

impl TryFrom<Record> for crate::Record {
    type Error = base64::DecodeError;

    fn try_from(record: Record) -> Result<Self, Self::Error> {
        let data = BASE64_STANDARD.decode(&record.data)?;
        Ok(Self { offset: record.offset, data: Bytes::from(data) })
    }
}
