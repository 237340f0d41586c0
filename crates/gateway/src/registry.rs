//! The registry of upstreams, folded from the records that they write to the store.

mod fold;
mod index;
mod registration;

use std::sync::Arc;

pub use fold::{Change, Fold};
pub use index::{Index, Key, key};
pub use registration::{Registration, State};

/// Id of an upstream.
pub type UpstreamId = Arc<str>;
/// Name of a failure domain.
pub type Domain = Arc<str>;
