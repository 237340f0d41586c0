//! At-most-once execution of non-idempotent orders, decided without input or output.
//!
//! An [`Engine`] receives events with the time and returns actions; the daemon carries these out.
//! Safety rests on three rules. Only the incarnation of a daemon that issued a session dispatches
//! the session's orders. It dispatches a journaled order only after it has read its own record of it
//! from its stream of the log, ahead of any revocation. And `not-run` is answered only by whoever can
//! rule out a dispatch for good: the issuer, which then never dispatches that number, or a host that
//! has read the revocation of the issuer. This crate knows nothing of sockets, threads or HTTP.

mod action;
mod answer;
mod base64;
mod batcher;
mod claims;
mod denial;
mod engine;
mod entry;
mod event;
mod fingerprint;
mod forward;
mod hex;
mod issuer;
mod key;
mod lease;
mod outcome;
mod record;
mod recovery;
mod session;
mod settings;
mod store;
mod stream;
mod suspicion;

pub use action::Action;
pub use answer::{Answer, Header};
pub use denial::Denial;
pub use engine::Engine;
pub use event::{Event, Failure, Submission};
pub use fingerprint::Fingerprint;
pub use key::{Error, Key};
pub use lease::Lease;
pub use outcome::{Outcome, Reason};
pub use record::{Body, Claim, Finished, Record, Started, Unreadable};
pub use session::{Journal, Session};
pub use settings::Settings;
pub use stream::Stream;

/// Identity of one life of a daemon, drawn at random at its start.
pub type Incarnation = u64;
/// Number of an order in its session, given by the caller, from 1.
pub type Number = u64;
/// One request that waits for an outcome, numbered by the daemon that took it.
pub type Ticket = u64;
/// Position of a record in a stream of the log.
pub type Offset = u64;
/// Number of an append, counted by the engine that asked for it.
pub type Batch = u64;
/// A key, or what is wrong with its text.
pub type Result<T, E = key::Error> = std::result::Result<T, E>;
