//! The registry of upstreams, folded from the records that they write to the store.

mod evacuations;
mod fold;
mod index;
mod registration;
mod withdrawal;

use std::sync::Arc;

pub use evacuations::{
    EvacuationRecord, Evacuations, MAX_DOMAIN_BYTES, MAX_DOMAINS, Progress, Stamp,
};
pub use fold::{Change, Fold};
pub use index::{Index, Key, key};
pub use registration::{Registration, State};
pub use withdrawal::{Withdrawal, Withdrawals};

/// Id of an upstream.
pub type UpstreamId = Arc<str>;
/// Name of a failure domain.
pub type Domain = Arc<str>;
