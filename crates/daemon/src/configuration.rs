//! Follows the configuration in the platform's log and puts accepted versions in force.
//!
//! The thread that runs [`Follower::run`] is the only one that reads the log's configuration. What
//! it folded is shared with peers, so that a host can start while the log is down.

mod follower;
mod source;

pub use follower::Follower;
pub use source::{Nobody, Source};
