//! Small stand-ins for what the system meets outside of itself: a backend server, the platform's
//! log and its host list.
//!
//! Each listens on a free port of 127.0.0.1, runs on threads of its own and stops when its handle is
//! dropped. Faults are switched on while it runs. They serve tests, demonstrations and measurements
//! and know nothing of the daemon.

pub mod backend;
pub mod hosts;
pub mod log;
mod server;
