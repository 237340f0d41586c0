//! The request path of a daemon whose configuration and upstreams are kept by a platform.
//!
//! `config`, `registry`, `load`, `peer` and `http` decide and do no input or output; the other modules
//! hold sockets and timers round them. [`platform::Platform`] is what the adapter to a platform
//! implements. A daemon runs on one thread: the hosts it is meant for give it half a core.

pub mod caller;
pub mod config;
pub mod decision;
pub mod directory;
pub mod dispatcher;
pub mod follow;
pub mod gateway;
pub mod http;
pub mod load;
pub mod logs;
pub mod mesh;
pub mod metrics;
pub mod peer;
pub mod platform;
pub mod probe;
pub mod process;
pub mod registry;
pub mod request;
pub mod rpc;
pub mod settings;
pub mod socket;
pub mod upstream;
pub mod wire;

pub use process::run;
pub use settings::Settings;
