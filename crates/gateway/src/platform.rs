//! What the product needs of the platform: a log with keyed topics, and the formats in it.
//!
//! The adapter implements this; it decides nothing. Timeouts, retries and what to believe when a
//! call fails are decided by the callers in this crate.

use std::time::Duration;

use bytes::Bytes;

use crate::{config::Config, registry::Registration, wire::Protocol};

/// Position of a record in a topic.
pub type Offset = u64;
/// A value, or why the call failed.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// A keyed topic of the store.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Topic {
    /// Configurations that operators have published.
    Config,
    /// Upstreams that have registered themselves.
    Upstreams,
    /// Entry hosts of the system itself.
    Hosts,
}

/// Why a call to the store failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// No connection, or it broke.
    #[error("connection: {0}")]
    Connection(String),
    /// No answer in time.
    #[error("no answer within {0:?}")]
    Timeout(Duration),
    /// The store refused the call and did nothing.
    #[error("refused with status {0}")]
    Refused(u16),
    /// The records asked for have been deleted.
    #[error("records before offset {first} were deleted")]
    Deleted {
        /// Oldest offset that is left.
        first: Offset,
    },
    /// The answer doesn't follow the protocol.
    #[error("malformed answer: {0}")]
    Malformed(String),
}

/// A record of a keyed topic.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Record {
    /// Key of the record.
    pub key: String,
    /// Value; none if the key was removed.
    pub value: Option<Bytes>,
}

/// Records of a topic and the position to go on from.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Batch {
    /// Records in the order in which they were written.
    pub records: Vec<Record>,
    /// Offset behind the last record.
    pub end: Offset,
}

/// Client of the platform's store, and decoder of the platform's formats.
pub trait Platform: 'static {
    /// Header names, paths and formats that callers and upstreams use.
    fn protocol(&self) -> Protocol;

    /// The newest record of each key of a topic.
    fn newest(&self, topic: Topic) -> impl Future<Output = Result<Batch>>;

    /// Records of `topic` from an offset on; the store holds the call back up to `wait` for one.
    fn read(
        &self,
        topic: Topic,
        from: Offset,
        wait: Duration,
    ) -> impl Future<Output = Result<Batch>>;

    /// Appends a record to a keyed topic; without a value the key is removed.
    fn append(
        &self,
        topic: Topic,
        key: &str,
        value: Option<&[u8]>,
    ) -> impl Future<Output = Result<()>>;

    /// Decodes a record of [`Topic::Config`]; none if the record holds something else.
    ///
    /// # Errors
    ///
    /// What is wrong with the text, each finding with its place.
    fn config(&self, key: &str, value: &[u8]) -> Option<Result<Config, Vec<String>>>;

    /// Decodes a record of [`Topic::Upstreams`].
    ///
    /// # Errors
    ///
    /// Why the record names no upstream.
    fn registration(&self, key: &str, value: &[u8]) -> Result<Registration, String>;
}
