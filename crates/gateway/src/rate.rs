//! Rates that all daemons share: how they are divided, and what one daemon may still use.
//!
//! Does no input or output; the caller passes the current time to each call.

mod bucket;

pub use bucket::Bucket;
