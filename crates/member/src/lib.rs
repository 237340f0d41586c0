//! Membership of entry hosts: which are alive or leaving, which configuration version each has in
//! force, and their loads.
//!
//! [`Table`] receives events with the time and returns heartbeats to send. In each period a host
//! sends heartbeats to a fixed number of others, and messages are bounded, so the cost for a host
//! doesn't grow with the size of the fleet. Hosts may disagree on which hosts are alive, and safety
//! doesn't depend on it: the table only gives hints for directions, forwarding and load. This crate
//! does not use sockets, threads or the platform's log.
//!
//! A host becomes a member only when it answers a heartbeat at its address; rumors only refresh
//! members and add candidates. So a paused process whose address has been taken over by another
//! can't replace the new one.

mod digest;
mod directions;
mod error;
mod exchange;
mod identity;
mod issuer;
mod lifecycle;
mod load;
mod member;
mod phase;
mod rumor;
mod settings;
mod table;

pub use digest::Digest;
pub use error::{Error, Result};
pub use exchange::Exchange;
pub use identity::Identity;
pub use issuer::Issuer;
pub use lifecycle::{Leaving, Lifecycle, Ready, Starting, Stopped, Verdict};
pub use load::{Estimate, Load};
pub use member::{Liveness, Member};
pub use phase::Phase;
pub use rumor::{Rumor, Tag};
pub use settings::Settings;
pub use table::{Heartbeat, Listing, Table};

/// Identity of one run of a daemon, chosen at random when it starts.
pub type Incarnation = u64;
/// Address at which a daemon listens for its peers; it identifies the host.
pub type Address = std::net::SocketAddr;
/// Name of a failure domain.
pub type Domain = std::sync::Arc<str>;
/// Version of the configuration in force; 0 if there is none yet.
pub type Version = u64;
/// Sequence number of a daemon's messages; it increases while the daemon runs.
pub type Sequence = u64;
/// Index of a service in the configuration in force.
pub type ServiceIndex = u16;
