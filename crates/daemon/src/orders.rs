//! Orders: requests that must run at most once, recognised by their idempotency key.
//!
//! The `order` crate decides without I/O. This module runs its timers, reads and writes the log,
//! forwards orders to the daemons that issued their sessions, and executes the orders that may run.

mod driver;
mod execution;
mod guard;
mod journal;
mod message;
mod reader;
mod reply;

use std::{
    io,
    sync::{Arc, atomic::AtomicBool},
    thread,
};

use tokio::runtime::Handle;

use crate::{membership::Membership, process::CONTROL_THREAD, state::State};

pub use driver::Driver;
pub use execution::{acknowledged, answer_peer, downgrade_outcome, key, run};
pub use guard::Guard;
pub use message::Message;
pub use reply::{BAD_KEY, KEY_REQUIRED};

/// Starts the driver of a daemon's orders and the thread that reads the log.
///
/// # Errors
///
/// Fails if the thread can't be started.
pub fn start(
    state: &Arc<State>,
    membership: &Arc<Membership>,
    client: &Arc<peer::Client>,
    runtime: &Handle,
    stop: &Arc<AtomicBool>,
) -> io::Result<()> {
    let address = state.settings.log_address;
    let open = || platform::Http::new(address, platform::Settings::default());
    let (journal, wakeups) = journal::Journal::new(Arc::new(open()), runtime.clone());
    let streams = journal.streams();
    let incarnation = state.ids.incarnation();
    let peers = driver::Peers { membership: Arc::clone(membership), client: Arc::clone(client) };
    let driver =
        Driver::new(Arc::clone(&state.clock), incarnation, journal, peers, runtime.clone());
    runtime.spawn(Arc::clone(&driver).run_timers());
    let reader = reader::Reader::new(Arc::clone(&driver), Box::new(open()), streams, wakeups);
    let stop = Arc::clone(stop);
    thread::Builder::new().name(CONTROL_THREAD.into()).spawn(move || reader.run(&stop))?;
    state.set_orders(driver);
    Ok(())
}
