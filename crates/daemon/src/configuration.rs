//! Follows the configuration's stream and puts accepted versions in force.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use document::Document;
use platform::Log;

use crate::state::State;

/// Stream of the log that carries publications.
pub const STREAM: &str = "configuration";
/// Time between two reads of the stream's end.
const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Records read at once.
const PAGE_RECORDS: usize = 256;

/// Follows the stream until `stop` is set.
pub fn follow(state: &Arc<State>, log: &dyn Log, stop: &AtomicBool) {
    let mut next = 0;
    while !stop.load(Ordering::Relaxed) {
        match log.read(STREAM, next, PAGE_RECORDS) {
            Ok(page) => {
                for it in &page.records {
                    take(state, it);
                }
                next = page.next;
            }
            Err(platform::Error::Gone { first }) => next = first,
            Err(e) => log::warn!("the configuration can't be read: {e}"),
        }
        thread::sleep(POLL_INTERVAL);
    }
}

fn take(state: &State, record: &platform::Record) {
    let Ok(text) = std::str::from_utf8(&record.data) else { return };
    match Document::parse(text) {
        Ok(it) => state.put_in_force(it, record.offset + 1),
        Err(findings) => {
            for it in findings {
                log::warn!("publication {} rejected: {it}", record.offset);
            }
        }
    }
}
