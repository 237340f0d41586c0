//! Connections to upstreams, and request-answer exchanges on them.

mod cold_time;
mod exchange;
mod notice;
mod pool;
mod rest;

pub use cold_time::ColdTime;
pub use exchange::{Completed, Exchange, Failure};
pub use notice::Notice;
pub use pool::{Connection, Pool};
pub use rest::Rest;

pub use crate::memory::{Memory, Share};

/// A complete answer, or why there is none.
pub type Result<T, E = Failure> = std::result::Result<T, E>;
