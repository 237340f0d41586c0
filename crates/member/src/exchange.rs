//! What two daemons tell each other in one heartbeat.

use std::net::SocketAddr;

use crate::{Digest, Error, Load, Result, Rumor};

/// Longest accepted name of a failure domain, in bytes.
const DOMAIN_LIMIT_BYTES: usize = 128;
/// Most rumors accepted in one message.
const RUMOR_LIMIT: usize = 256;
/// Most loads accepted in one message.
const LOAD_LIMIT: usize = 1_024;
/// Most leaving backend servers told in one message.
pub(crate) const MARK_LIMIT: usize = 256;

/// One direction of a heartbeat: the sender's digest, some of its loads and some rumors.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Exchange {
    /// The sender.
    pub digest: Digest,
    /// Loads of the sender; those left out are as told before.
    pub loads: Vec<Load>,
    /// Other daemons.
    pub rumors: Vec<Rumor>,
    /// Backend servers that the sender knows at first hand to be leaving.
    #[serde(default)]
    pub marks: Vec<SocketAddr>,
}

impl Exchange {
    /// Checks the bounds of a message from outside.
    ///
    /// # Errors
    ///
    /// [`Error::TooLong`] for the first part that exceeds its bound.
    pub fn check(&self) -> Result<()> {
        bounded("failure domain", self.digest.identity.domain.len(), DOMAIN_LIMIT_BYTES)?;
        bounded("rumors", self.rumors.len(), RUMOR_LIMIT)?;
        bounded("loads", self.loads.len(), LOAD_LIMIT)?;
        bounded("marks", self.marks.len(), MARK_LIMIT)
    }
}

fn bounded(part: &'static str, length: usize, limit: usize) -> Result<()> {
    if length > limit {
        return Err(Error::TooLong { part, length, limit });
    }
    Ok(())
}
