//! Where work goes: what is known of each upstream's load, the choice among them, the queue of
//! requests that wait for room, and the budget for repeated attempts.
//!
//! Nothing here does input or output; every call takes the time.

mod budget;
mod care;
mod outcome;
mod queue;
mod report;
mod service;
mod settings;
mod upstream;

pub use budget::{Budget, slack_part};
pub use care::Care;
pub use outcome::Outcome;
pub use queue::{Queue, Waiter};
pub use report::Report;
pub use service::Service;
pub use settings::Settings;
pub use upstream::{Flight, Standing, Upstream};

/// Number that stands for an entry host in what peers tell each other.
pub type HostKey = u64;
