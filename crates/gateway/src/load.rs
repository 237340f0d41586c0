//! Load balancing among the upstreams of a service: load estimates per upstream, upstream choice,
//! the queue of waiting requests with admission control, and the budget for repeated attempts.
//!
//! Does no input or output; the caller passes the current time to each call.

mod account;
mod accounts;
mod decayed;
mod domains;
mod drain;
mod eligibility;
mod first_attempts;
mod outcome;
mod overload;
mod position;
mod queue;
mod reason;
mod refused;
mod report;
mod service;
mod settings;
mod slow_start;
mod temperature;
mod upstream;
mod waiter;
mod work;

pub use crate::rate::{Budget, slack_share};
pub use domains::Domains;
pub use eligibility::Eligibility;
pub use outcome::Outcome;
pub use overload::Overload;
pub use queue::Queue;
pub use reason::Reason;
pub use refused::Refused;
pub use report::Report;
pub use service::Service;
pub use settings::Settings;
pub use slow_start::SlowStart;
pub use temperature::Temperature;
pub use upstream::{Condition, InFlight, Upstream};
pub use waiter::Waiter;
pub use work::Work;

/// Identifies the incarnation of an entry host in messages between peers.
pub type HostKey = u64;
