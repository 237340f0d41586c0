//! A randomized soak test that runs the daemons as separate processes against simulated callers,
//! upstreams and a simulated store, and injects faults from outside of the daemons.
//!
//! Faults overlap. Loopback proxies delay, close or drop the traffic to the store and the
//! upstreams. Signals kill, stop, pause and reload daemons. Daemons that are paused or cut off from
//! the store miss new configurations. The store refuses requests, sends garbage or drops entries.
//! Upstreams refuse requests, deny them, send garbage or leave, and other processes take over their
//! ids. Other writers write odd entries. The store moves, and executes writes late and twice. New
//! configurations are published. Callers keep their connections until these break, and send requests
//! of unusual forms. The soak checks what callers and upstreams see: each answer belongs to its
//! request, no order runs twice, an order answered as "not run" has not run, a proper request gets no
//! 3xx or 4xx of a daemon, no daemon returns to an older configuration, no daemon with an outdated one
//! denies what the newest allows, and repeated attempts stay within the retry budget. After the last
//! fault it checks recovery and planned stops.
//!
//! With [`Options::only_stops`], the daemons are only stopped and started again as planned, several
//! at a time, beside reloads and new configurations. Then nothing excuses a request that reached an
//! upstream and got no answer.
//!
//! The seed fixes the schedule of faults, but not how the processes interleave.

mod caller;
mod daemon;
mod environment;
mod faults;
mod form;
mod ledger;
mod oddities;
mod options;
mod probe;
mod publications;
mod recovery;
pub mod retry_budget;
mod stop_caller;
mod stops;
mod watcher;

pub use daemon::{Daemon, Ports};
pub use ledger::Report;
pub use options::Options;

/// The result of an operation of the soak.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Reasons for which the soak can't run. A broken promise is not an error but a finding in the
/// [`Report`].
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A process can't be started or signalled, or a socket or file can't be used.
    #[error("{0}")]
    Io(#[from] std::io::Error),
    /// Not every daemon became ready within 30 s of the start.
    #[error("not every daemon became ready within 30 s of the start")]
    NotReady,
}

/// Runs the soak once, with the faults that follow from the seed in `options`.
///
/// # Errors
///
/// Fails if a daemon can't be started or signalled, or if the daemons are not ready in time at the
/// start.
pub fn run(options: &Options) -> Result<Report> {
    let env = environment::Environment::start(options)?;
    if options.only_stops {
        stops::run(&env, options)?;
        return Ok(env.finish());
    }
    let mut faults = faults::Faults::new(&env, options.seed);
    faults.run(options.length)?;
    recovery::check(&env)?;
    Ok(env.finish())
}
