//! Clients of the platform's append-only log and of its host list.
//!
//! The rest of the system accesses the platform only through the traits [`Log`] and [`Hosts`].
//! [`Http`] implements both; another protocol would be another type that implements them. Errors
//! distinguish appends that certainly had no effect from those that may have had one, because the
//! guarantees to callers depend on it. This crate doesn't interpret the records.

mod backoff;
mod entry;
mod error;
mod hosts;
mod http;
mod log;
mod page;
mod record;
mod settings;
pub mod wire;

pub use backoff::Backoff;
pub use entry::{Entry, State};
pub use error::{Error, Result};
pub use hosts::Hosts;
pub use http::Http;
pub use log::Log;
pub use page::Page;
pub use record::Record;
pub use settings::Settings;

/// Position of a record in a stream. Offsets ascend; the first record has offset 0.
pub type Offset = u64;
