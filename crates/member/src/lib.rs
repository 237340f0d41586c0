//! Membership of entry hosts: who lives, who is leaving, which version each has in force, and how
//! busy they are.
//!
//! [`Table`] receives events with the time and returns heartbeats to send. Each period a host sends
//! heartbeats to a few others, whatever the size of the fleet, and messages are bounded, so that the
//! cost for a host doesn't grow with the fleet. Nothing safe depends on agreement about who lives:
//! the table gives hints for directions, forwarding and load. This crate knows nothing of sockets,
//! threads or the platform's log.
//!
//! A host becomes a member only by its own answer at its address; rumors refresh members and name
//! candidates. So a paused process whose address has a new holder can't displace it.

mod digest;
mod directions;
mod error;
mod exchange;
mod identity;
mod issuer;
mod life;
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
pub use life::{Leaving, Lifecycle, Ready, Starting, Stopped, Verdict};
pub use load::{Estimate, Load};
pub use member::{Liveness, Member};
pub use phase::Phase;
pub use rumor::{Rumor, Tag};
pub use settings::Settings;
pub use table::{Heartbeat, Listing, Table};

/// Identity of one life of a daemon, drawn at random at its start.
pub type Incarnation = u64;
/// Address at which a daemon listens to its peers; it names the host.
pub type Address = std::net::SocketAddr;
/// Name of a failure domain.
pub type Domain = std::sync::Arc<str>;
/// Version of the configuration in force; 0 before the first.
pub type Version = u64;
/// Count of a daemon's own heartbeats; it grows for as long as the daemon lives.
pub type Sequence = u64;
/// Place of a service in the configuration in force.
pub type ServiceIndex = u16;
