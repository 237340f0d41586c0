//! Why a peer's message is refused.

use crate::Address;

/// A value, or why a peer's message is refused.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Why a peer's message is refused.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// A part of the message exceeds its bound.
    #[error("{part}: length {length}, limit {limit}")]
    TooLong {
        /// Part of the message.
        part: &'static str,
        /// Its length.
        length: usize,
        /// Largest accepted length.
        limit: usize,
    },
    /// The sender claims the address of the receiver.
    #[error("sender claims the receiver's address {0}")]
    OwnAddress(Address),
    /// The answer comes from another address than the heartbeat went to.
    #[error("heartbeat to {asked} answered for {answered}")]
    WrongAddress {
        /// Where the heartbeat went.
        asked: Address,
        /// Address in the answer.
        answered: Address,
    },
}
