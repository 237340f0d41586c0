//! Small fleets on loopback: daemons, backend servers and stand-ins of the platform in one process.
//!
//! The crate is used by tests, demonstrations and measurements, not by the daemon.

mod answer;
mod caller;
mod fleet;
mod service;

pub use answer::Answer;
pub use caller::{Call, Caller};
pub use fleet::{Error, Fleet, Result, Settings, await_condition};
pub use service::Service;
