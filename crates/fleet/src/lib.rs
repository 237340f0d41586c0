//! Small fleets on loopback: daemons, backend servers and the platform's stand-ins in one process.
//!
//! Tests, demonstrations and measurements share this crate; no daemon links it.

mod answer;
mod caller;
mod fleet;
mod service;

pub use answer::Answer;
pub use caller::{Call, Caller};
pub use fleet::{Error, Fleet, Result, Settings, await_condition};
pub use service::Service;
