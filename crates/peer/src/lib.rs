//! Calls between entry hosts, as JSON-RPC over HTTP.
//!
//! [`Server`] answers peers through a [`Handler`] that the daemon supplies; [`Client`] calls them.
//! Both authenticate with a shared token, limit the size of messages and the time of calls, and
//! refuse malformed messages. This crate doesn't interpret heartbeats, configurations or orders.
//!
//! - `heartbeat`: one [`member::Exchange`] each way. Its digest says whether the sender is leaving.
//! - `configuration`: a snapshot newer than an offset, if the peer has one.
//! - `forward`: an order for the daemon that issued its session; the answer is its outcome.

mod blob;
mod client;
mod error;
mod guard;
mod handler;
mod server;
mod settings;

pub use blob::Blob;
pub use client::Client;
pub use error::{Error, Result};
pub use handler::Handler;
pub use server::{Server, StartError};
pub use settings::Settings;

/// Secret that all daemons of a fleet share.
pub type Token = String;

/// Name of the heartbeat method.
const HEARTBEAT: &str = "heartbeat";
/// Name of the method that fetches a configuration.
const CONFIGURATION: &str = "configuration";
/// Name of the method that forwards an order.
const FORWARD: &str = "forward";
/// HTTP header that carries the token.
const TOKEN_HEADER: &str = "fireflydrum-token";
