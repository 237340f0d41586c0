//! The heartbeats of an upstream.

use std::{
    sync::{Arc, Condvar, Mutex},
    thread::{self, JoinHandle},
    time::Duration,
};

use crate::{
    record::Record,
    store::{SERVERS, Store},
    upstream::Upstream,
};

/// `heartbeat_ms` of a small deployment.
const INTERVAL: Duration = Duration::from_millis(1_500);

/// Writes the entry of a ready upstream into the store until it is stopped.
pub struct Heartbeat {
    stop: Arc<(Mutex<bool>, Condvar)>,
    thread: JoinHandle<u64>,
}

impl Heartbeat {
    /// Writes the first entry and starts the others.
    pub fn start(record: &Record, store: &Store, upstream: &Upstream) -> Self {
        beat(record, store, upstream, "ready", 1);
        let stop: Arc<(Mutex<bool>, Condvar)> = Arc::default();
        let (record, store, upstream) = (record.clone(), store.clone(), upstream.clone());
        let is_stopped = Arc::clone(&stop);
        let thread = thread::spawn(move || {
            let mut seq = 1;
            let (lock, changed) = &*is_stopped;
            let mut stopped = lock.lock().expect("no holder panics");
            loop {
                stopped = changed.wait_timeout(stopped, INTERVAL).expect("no holder panics").0;
                if *stopped {
                    return seq;
                }
                seq += 1;
                beat(&record, &store, &upstream, "ready", seq);
            }
        });
        Self { stop, thread }
    }

    /// Stops the heartbeats; returns the `seq` of the last one.
    pub fn stop(self) -> u64 {
        *self.stop.0.lock().expect("no holder panics") = true;
        self.stop.1.notify_all();
        self.thread.join().expect("the thread doesn't panic")
    }
}

/// Writes an upstream's entry, which the store acknowledges.
pub fn beat(record: &Record, store: &Store, upstream: &Upstream, state: &str, seq: u64) {
    store.put(SERVERS, &upstream.id, &upstream.entry(state, seq));
    record.line(&format!("upstream {} writes {state}, seq {seq}; acknowledged", upstream.id));
}
