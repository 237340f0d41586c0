//! Load balancing among the upstreams of a service: load estimates per upstream, upstream choice,
//! the queue of waiting requests and the budget for repeated attempts.
//!
//! Does no input or output; the caller passes the current time to each call.

mod eligibility;
mod outcome;
mod queue;
mod report;
mod service;
mod settings;
mod slow_start;
mod temperature;
mod upstream;

pub use crate::rate::{Budget, slack_share};
pub use eligibility::Eligibility;
pub use outcome::Outcome;
pub use queue::{Queue, Waiter};
pub use report::Report;
pub use service::Service;
pub use settings::Settings;
pub use slow_start::SlowStart;
pub use temperature::Temperature;
pub use upstream::{Condition, InFlight, Upstream};

/// Identifies the incarnation of an entry host in messages between peers.
pub type HostKey = u64;
