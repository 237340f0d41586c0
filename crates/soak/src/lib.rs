//! A randomized soak: daemons as separate processes, callers, upstreams and the store as stand-ins, and
//! faults from outside them.
//!
//! Faults come in series that overlap: connections to store and upstreams that are delayed, reset or
//! silenced by loopback proxies; daemons that are killed, stopped as planned, paused and reloaded by
//! signals; a store that refuses, garbles or forgets; upstreams that refuse, garble or leave; new
//! configurations. Meanwhile callers use open connections until they break, and what they and the
//! upstreams see is checked against the promises: answers, orders that run once, "not run", configurations that
//! don't go back, the retry budget. A calm end checks planned stops and recovery.
//!
//! One seed gives one schedule of faults; how the processes interleave is up to the machine.

pub mod arrivals;
mod caller;
mod faults;
mod fleet;
mod ledger;
mod options;
mod proxy;
mod watcher;
mod world;

pub use ledger::Report;
pub use options::Options;

/// A value, or why the soak could not run.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Why the soak could not run; a broken promise is no error but a finding in the [`Report`].
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A process, a socket or a file can't be used.
    #[error("{0}")]
    Io(#[from] std::io::Error),
    /// The daemons were not ready in time at the start.
    #[error("the daemons were not ready in time")]
    NotReady,
}

/// Runs one seed.
///
/// # Errors
///
/// Fails if the daemons can't be started.
pub fn run(options: &Options) -> Result<Report> {
    let world = world::World::start(options)?;
    let mut faults = faults::Faults::new(&world, options.seed);
    faults.run(options.length)?;
    faults.calm_end()?;
    Ok(world.finish())
}
