//! Small stand-ins for external systems: a backend server, the platform's log and the platform's
//! host list.
//!
//! Each stand-in listens on a free port of 127.0.0.1, runs on its own threads and stops when its
//! handle is dropped. Faults can be changed while it runs. The stand-ins are used by tests,
//! demonstrations and measurements and don't depend on the daemon.

pub mod backend;
pub mod hosts;
pub mod log;
mod server;
