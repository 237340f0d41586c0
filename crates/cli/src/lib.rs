//! The command line with which operators manage fireflydrum.
//!
//! Each verb is a module whose `run` takes a [`Context`] and its arguments and returns an
//! [`Outcome`]; `main` only reads the environment and prints. The verbs get all state from the log
//! and the daemons; nothing is stored between two runs.

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
