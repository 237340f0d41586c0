//! Sources of the configuration other than the log.

use bytes::Bytes;

/// A source without peers.
#[derive(Clone, Copy, Debug)]
pub struct NoPeers;

impl Source for NoPeers {
    fn newer_than(&self, _end: document::Offset) -> Option<Bytes> {
        None
    }
}

/// Peers that may hold a newer configuration.
pub trait Source: Send {
    /// Fetches a snapshot that reaches beyond `end` from a peer, if one has it.
    fn newer_than(&self, end: document::Offset) -> Option<Bytes>;
}
