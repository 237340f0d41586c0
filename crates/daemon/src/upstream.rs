//! The interface to backend servers: connections and attempts.

pub mod attempt;
pub mod connection;
pub mod load;
pub mod pool;
mod stream;
