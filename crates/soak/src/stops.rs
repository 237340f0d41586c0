//! Planned stops of all daemons in turn, several at a time.

use std::{
    thread,
    time::{Duration, Instant},
};

use rustix::process::Signal;

use crate::{Options, Result, environment::Environment};

/// Time from one stop to the next, in milliseconds.
const STOP_INTERVAL_MS: std::ops::Range<u64> = 100..2_000;
/// Time from the end of a process to its next start.
const RESTART_DELAY: Duration = Duration::from_millis(200);
/// One in this many stops comes with a new configuration, and as many with a reload of a daemon.
const CHANGE_EVERY: u64 = 4;
/// One in this many daemons may be down at a time.
const DOWN_DIVISOR: usize = 2;

/// A daemon that has been sent SIGTERM.
struct Stop {
    daemon: usize,
    signalled: Instant,
}

/// Stops daemons for the length in `options`, then waits until all run again.
pub(crate) fn run(env: &Environment, options: &Options) -> Result<()> {
    let mut rng = fastrand::Rng::with_seed(options.seed);
    let until = Instant::now() + options.length;
    let count = env.daemons.borrow().len();
    let max_down = (count / DOWN_DIVISOR).max(1);
    let mut stops: Vec<Stop> = Vec::new();
    let mut next = Instant::now();
    let mut order: Vec<usize> = Vec::new();
    while Instant::now() < until || !stops.is_empty() {
        end_due(env, options.grace, &mut stops)?;
        let now = Instant::now();
        if now >= next && now < until && stops.len() < max_down {
            if order.is_empty() {
                order.extend(0..count);
                rng.shuffle(&mut order);
            }
            let daemon = order.pop().unwrap_or_default();
            if !stops.iter().any(|it| it.daemon == daemon) {
                env.daemons.borrow()[daemon].signal(Signal::TERM)?;
                env.context.ledger.record_fault("terminate");
                stops.push(Stop { daemon, signalled: now });
                env.context.set_stopping(daemon, Some(now));
            }
            if rng.u64(..CHANGE_EVERY) == 0 {
                env.publish();
            }
            if rng.u64(..CHANGE_EVERY) == 0 {
                let daemon = &env.daemons.borrow()[rng.usize(..count)];
                // Before it is ready, the signal would end it.
                if daemon.is_ready() {
                    daemon.signal(Signal::HUP)?;
                }
            }
            next = now + Duration::from_millis(rng.u64(STOP_INTERVAL_MS));
        }
        thread::sleep(Duration::from_millis(5));
    }
    if !env.wait_ready() {
        env.context.ledger.add_finding("not every daemon became ready again".to_owned());
    }
    Ok(())
}

/// Starts the daemons that have ended, and kills those whose grace period is over.
fn end_due(env: &Environment, grace: Duration, stops: &mut Vec<Stop>) -> Result<()> {
    let mut daemons = env.daemons.borrow_mut();
    let mut running = Vec::new();
    for it in stops.drain(..) {
        let is_over = it.signalled.elapsed() >= grace;
        if !is_over && !daemons[it.daemon].has_ended()? {
            running.push(it);
            continue;
        }
        if !daemons[it.daemon].wait(Duration::ZERO)? {
            let finding = format!("daemon {} did not end within its grace period", it.daemon);
            env.context.ledger.add_finding(finding);
        }
        thread::sleep(RESTART_DELAY);
        env.context.set_stopping(it.daemon, None);
        daemons[it.daemon].start()?;
    }
    *stops = running;
    Ok(())
}
