//! State that daemons exchange with each other.
//!
//! Heartbeats and loads are sent as datagrams: each is small, soon outdated, and may be lost. Texts
//! that must arrive complete are sent by JSON-RPC, see [`crate::rpc`]. Does no input or output.

mod activity;
mod capacity;
mod packet;
mod phase;
pub mod placement;
mod table;

pub use activity::Activity;
pub use capacity::Capacity;
pub use packet::{Heartbeat, Load, Packet, Relay};
pub use phase::Phase;
pub use table::{Event, Peer, Sharers, Table};
