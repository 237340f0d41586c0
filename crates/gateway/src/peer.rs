//! What daemons tell each other.
//!
//! Heartbeats and loads go by datagram: each is small, soon outdated, and may be lost. Texts that
//! must arrive whole go by JSON-RPC, see [`crate::rpc`]. Nothing here does input or output.

mod activity;
mod capacity;
mod packet;
mod phase;
pub mod placement;
mod table;

pub use activity::Activity;
pub use capacity::Capacity;
pub use packet::{Beat, Load, Packet, Relay};
pub use phase::Phase;
pub use table::{Event, Peer, Sharers, Table};
