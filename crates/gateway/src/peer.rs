//! State that daemons exchange with each other.
//!
//! Heartbeats, loads and registry changes are sent as datagrams: each is small, soon outdated, and
//! may be lost. The whole configuration or registry, which must arrive complete, is sent by
//! JSON-RPC, see [`crate::rpc`]. Does no input or output.

mod activity;
mod capacity;
mod config_reply;
mod packet;
mod phase;
pub mod placement;
mod table;
mod tenant_demands;

pub use activity::Activity;
pub use capacity::Capacity;
pub use config_reply::{ConfigReply, QueryId};
pub use packet::{Departure, Heartbeat, Load, Packet, Relay, Temperature};
pub use phase::Phase;
pub use table::{Event, Peer, Sharers, Table};
pub use tenant_demands::TenantDemands;
