//! The side of the daemon that backend servers see: connections and attempts.

pub mod attempt;
pub mod connection;
pub mod load;
pub mod pool;
