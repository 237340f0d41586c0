//! Why a peer's message is refused.

use crate::Address;

/// A value, or the reason why a peer's message is refused.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Why a peer's message is refused.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// A part of the message exceeds its length limit.
    #[error("{part}: length {length}, limit {limit}")]
    TooLong {
        /// Part of the message.
        part: &'static str,
        /// Length of the part.
        length: usize,
        /// Largest accepted length.
        limit: usize,
    },
    /// The sender claims the address of the receiver.
    #[error("sender claims the receiver's address {0}")]
    OwnAddress(Address),
    /// The address in the answer differs from the one that the heartbeat was sent to.
    #[error("heartbeat to {asked} answered for {answered}")]
    WrongAddress {
        /// Address that the heartbeat was sent to.
        asked: Address,
        /// Address in the answer.
        answered: Address,
    },
}
