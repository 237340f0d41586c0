//! The fireflydrum daemon. One runs on each entry host; all are equal and store nothing on disk.
//!
//! Decisions are made by the crates without I/O (`admission`, `balance`, `order`, `member`,
//! `document`). This crate provides their sockets, timers and threads.

pub mod admin;
pub mod caller;
pub mod configuration;
pub mod decision;
pub mod id;
pub mod logs;
pub mod membership;
pub mod metrics;
pub mod orders;
pub mod probe;
pub mod process;
pub mod proxy;
pub mod service;
pub mod settings;
pub mod state;
pub mod status;
pub mod table;
pub mod upstream;

pub use process::Process;
pub use settings::Settings;
