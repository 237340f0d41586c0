//! The registry of upstreams, folded from the records that they write to the store.

mod departed;
mod evacuations;
mod fold;
mod index;
mod registration;
mod removal;
mod removals;
mod revision;
mod withdrawal;

use std::{sync::Arc, time::Duration};

pub use evacuations::{
    EvacuationRecord, Evacuations, MAX_DOMAIN_BYTES, MAX_DOMAINS, Progress, Stamp,
};
pub use fold::{Change, Fold};
pub use index::{Index, Key, key};
pub use registration::{Registration, State};
pub use removal::Removal;
pub use revision::Revision;
pub use withdrawal::{Withdrawal, Withdrawals};

/// Time from the return of the store within which operators and upstreams have written again what it has
/// lost: longer than `stability_ms` (3 s), after which machines count as in touch.
pub const REWRITE_TIME: Duration = Duration::from_secs(5);

/// Id of an upstream.
pub type UpstreamId = Arc<str>;
/// Name of a failure domain.
pub type Domain = Arc<str>;
