//! Follows the configuration in the platform's log and puts accepted versions in force.
//!
//! Only the thread that runs [`Follower::run`] reads the configuration from the log. Snapshots of
//! it are served to peers, so that a host can start while the log is down.

mod confirmation;
mod follower;
mod source;

pub use confirmation::{Confirmation, MAX_AGE};
pub use follower::Follower;
pub use source::{NoPeers, Source};
