//! Clients of the platform's append-only log and of its host list.
//!
//! The rest of the system knows the platform only by the traits [`Log`] and [`Hosts`]. [`Http`] is
//! the one binding of both; another protocol is another type that implements them. Errors say
//! truthfully whether an append can have taken effect, because promises to callers rest on it. This
//! crate knows nothing of what the records mean.

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

/// Position of a record in a stream; it only grows, and the first record has offset 0.
pub type Offset = u64;
