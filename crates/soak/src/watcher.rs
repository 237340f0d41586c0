//! Checks that no daemon returns to an older configuration.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    sync::atomic::Ordering,
    thread,
    time::{Duration, Instant},
};

use platform_standin::config;

use crate::caller::Context;

/// Pause between two requests to one daemon.
const REQUEST_INTERVAL: Duration = Duration::from_millis(40);
/// Time-out for connecting and for reading an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(4);

/// Requests routes of the newest and of older configurations from one daemon until `stop` is set.
pub(crate) fn run(context: &Context, daemon: usize) {
    let address = context.addresses[daemon];
    let mut newest_served = (0, 0);
    let mut serial = 0;
    while !context.stop.load(Ordering::Relaxed) {
        thread::sleep(REQUEST_INTERVAL);
        serial += 1;
        let start = context.starts[daemon].load(Ordering::Relaxed);
        let published = context.publications.newest();
        if newest_served.0 != start {
            newest_served = (start, 0);
        }
        // Each configuration has a route that no other configuration has.
        let age = serial % 3;
        let requested = published.saturating_sub(age).max(1);
        let id = format!("GET-watch-{daemon}-{serial}");
        context.ledger.record_request(Instant::now());
        let serves = serves(address, &config::own_path(requested), &id, ANSWER_TIMEOUT);
        // After a restart, the daemon may start with an older configuration.
        let is_same_start = start == context.starts[daemon].load(Ordering::Relaxed);
        if !serves.unwrap_or(false) || !is_same_start {
            continue;
        }
        if requested < newest_served.1 {
            let newest = newest_served.1;
            context
                .ledger
                .add_finding(format!("daemon {daemon} went back from {newest} to {requested}"));
        }
        newest_served.1 = newest_served.1.max(requested);
    }
}

/// Whether a daemon answers a request for `path` with status 200.
pub(crate) fn serves(
    address: SocketAddr,
    path: &str,
    id: &str,
    timeout: Duration,
) -> io::Result<bool> {
    let mut stream = TcpStream::connect_timeout(&address, timeout)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.write_all(config::request("GET", path, id, true).as_bytes())?;
    let mut status = [0; 12];
    stream.read_exact(&mut status)?;
    Ok(status.ends_with(b"200"))
}
