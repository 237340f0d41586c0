//! The request path of a daemon whose configuration and upstreams are kept by a platform.
//!
//! `config`, `registry`, `load`, `memory`, `peer` and `http` contain the logic and do no input or output; the
//! other modules hold sockets and timers. The adapter to a platform implements
//! [`platform::Platform`]. A daemon runs on one thread, since the hosts that it is designed for
//! give it half a core.

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
pub mod memory;
pub mod mesh;
pub mod metrics;
pub mod peer;
pub mod platform;
pub mod probe;
pub mod process;
pub mod rate;
pub mod registry;
pub mod request;
pub mod rpc;
pub mod settings;
pub mod socket;
pub mod start;
pub mod stop;
pub mod supervisor;
pub mod upstream;
pub mod wire;

pub use process::run;
pub use settings::Settings;
pub use start::Start;
