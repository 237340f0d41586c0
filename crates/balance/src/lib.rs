//! Choice of an upstream of one service from stale load reports.
//!
//! Six entry hosts choose independently among servers with a handful of slots each, so the load
//! that one host can count itself is a small part of the truth, and a report is older than the
//! load's own time scale. [`Balancer`] estimates for each candidate when a request sent now would
//! be answered, and sends it where that is soonest.
//!
//! This crate knows nothing of sockets, threads, documents or clocks: events come in with the time
//! at which they happened, decisions go out, and random numbers come from a seed.

mod answer;
mod balancer;
mod bucket;
mod candidate;
mod choice;
mod digest;
mod fleet;
mod health;
mod limit;
mod load;
mod moment;
mod peers;
mod ranking;
mod refusal;
mod report;
mod service;
mod settings;
mod speed;
mod state;
mod subset;
mod upstream;

pub use answer::{Answer, Outcome};
pub use balancer::Balancer;
pub use candidate::Candidate;
pub use choice::{Choice, Dispatch};
pub use digest::{Digest, Entry};
pub use refusal::{Reason, Refusal};
pub use report::Report;
pub use settings::Settings;
pub use upstream::Upstream;

/// Name of an upstream, unique in a service.
pub type UpstreamId = std::sync::Arc<str>;
/// Name of a failure domain.
pub type Domain = std::sync::Arc<str>;
/// Name of an entry host.
pub type HostId = std::sync::Arc<str>;
/// A choice, or the reason why there is none.
pub type Result<T, E = Refusal> = std::result::Result<T, E>;
