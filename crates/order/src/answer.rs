//! A backend server's answer, as stored for repeats of the request.

use bytes::Bytes;

use crate::base64;

/// A complete answer of a backend server.
#[derive(Clone, Debug, Eq, Hash, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// End-to-end headers, in their order.
    pub headers: Vec<Header>,
    /// Complete body.
    #[serde(with = "base64")]
    pub body: Bytes,
}

/// A header of an answer.
#[derive(Clone, Debug, Eq, Hash, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Header {
    /// Name in lower case.
    pub name: String,
    /// Value; headers whose value is not text are dropped.
    pub value: String,
}

impl Answer {
    /// Memory used by the answer, in bytes.
    #[must_use]
    pub fn size(&self) -> usize {
        let headers: usize = self.headers.iter().map(|it| it.name.len() + it.value.len()).sum();
        headers + self.body.len()
    }
}
