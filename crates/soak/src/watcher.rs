//! Watches that no daemon goes back to an older configuration.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    sync::atomic::Ordering,
    thread,
    time::{Duration, Instant},
};

use platform_standin::config;

use crate::caller::Target;

/// Pause between two questions to one daemon.
const PAUSE: Duration = Duration::from_millis(40);
/// Longest time to wait for an answer.
const PATIENCE: Duration = Duration::from_secs(4);

/// Asks one daemon for routes of the newest configurations and of older ones, until told to stop.
pub(crate) fn run(target: &Target, daemon: usize) {
    let address = target.addresses[daemon];
    let mut newest_seen = (0, 0);
    let mut serial = 0;
    while !target.stop.load(Ordering::Relaxed) {
        thread::sleep(PAUSE);
        serial += 1;
        let life = target.starts[daemon].load(Ordering::Relaxed);
        let published = target.published.load(Ordering::Relaxed);
        if newest_seen.0 != life {
            newest_seen = (life, 0);
        }
        // Each configuration has a route of its own, which the next one has no more.
        let back = serial % 3;
        let asked = published.saturating_sub(back).max(1);
        let id = format!("GET-watch-{daemon}-{serial}");
        target.ledger.sent(Instant::now());
        let serves = serves(address, &config::own_path(asked), &id, PATIENCE);
        // A daemon that has ended meanwhile may have been followed by one that knows less.
        let is_same_life = life == target.starts[daemon].load(Ordering::Relaxed);
        if !serves.unwrap_or(false) || !is_same_life {
            continue;
        }
        if asked < newest_seen.1 {
            let newest = newest_seen.1;
            target.ledger.find(format!("daemon {daemon} went back from {newest} to {asked}"));
        }
        newest_seen.1 = newest_seen.1.max(asked);
    }
}

/// Whether a daemon answers a path with success.
pub(crate) fn serves(
    address: SocketAddr,
    path: &str,
    id: &str,
    patience: Duration,
) -> io::Result<bool> {
    let mut stream = TcpStream::connect_timeout(&address, patience)?;
    stream.set_read_timeout(Some(patience))?;
    stream.write_all(config::request("GET", path, id, true).as_bytes())?;
    let mut status = [0; 12];
    stream.read_exact(&mut status)?;
    Ok(status.ends_with(b"200"))
}
