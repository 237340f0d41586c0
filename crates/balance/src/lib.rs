//! Choice of an upstream of one service from stale load reports.
//!
//! Several entry hosts (typically six) choose independently among servers with a few slots each. So
//! the requests that one host sends are a small part of a server's load, and a load report is
//! already out of date when it arrives. [`Balancer`] estimates for each candidate when a request
//! sent now would be answered, and chooses the earliest.
//!
//! This crate does no I/O and uses no threads, documents or clocks: callers pass in events with the
//! time at which they happened, and random numbers are derived from a seed.

mod balancer;
mod bucket;
mod candidate;
mod choice;
mod completion;
mod digest;
mod estimator;
mod health;
mod limit;
mod load;
mod moment;
mod peers;
mod pool;
mod ranking;
mod refusal;
mod report;
mod service;
mod settings;
mod state;
mod subset;
mod upstream;

pub use balancer::Balancer;
pub use candidate::Candidate;
pub use choice::{Choice, Dispatch};
pub use completion::{Completion, Outcome};
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
/// A choice, or the reason why no upstream was chosen.
pub type Result<T, E = Refusal> = std::result::Result<T, E>;
