//! The command line with which operators drive fireflydrum.
//!
//! Each verb is a module whose `run` takes a [`Context`] and its arguments and returns an
//! [`Outcome`]; `main` only reads the environment and prints. Everything that the verbs decide is
//! read from the log and asked of the daemons; nothing is kept between two calls.

pub mod admin;
pub mod arguments;
pub mod attempt;
pub mod context;
pub mod error;
pub mod header;
pub mod outcome;
pub mod publish;
pub mod reader;
pub mod rollout;
pub mod settings;
pub mod trace;
pub mod verb;

pub use arguments::Arguments;
pub use attempt::Attempt;
pub use context::Context;
pub use error::{Error, Result};
pub use outcome::{Code, Outcome};
pub use settings::Settings;
