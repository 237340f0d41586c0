//! Closing the connection cancels the request and frees its slot.

use std::{io::Write, net::TcpStream, thread};

use standin::backend::{Backend, Execution, Settings};

/// Sends a request, waits until it is in a slot or, with `occupied`, in the queue, and closes the
/// connection.
fn check(settings: Settings, occupied: bool, executed: Execution) {
    let backend = Backend::start(settings).unwrap();
    backend.update(|it| it.stalled = true);
    let request = |key: &str| {
        let mut stream = TcpStream::connect(backend.address()).unwrap();
        write!(stream, "GET /stock HTTP/1.1\r\nhost: a\r\nidempotency-key: {key}\r\n\r\n").unwrap();
        stream
    };
    let holder = occupied.then(|| request("holder"));
    while occupied && backend.load().in_flight == 0 {
        thread::yield_now();
    }

    let stream = request("cancelled");
    while backend.load().in_flight + backend.load().queued <= usize::from(occupied) {
        thread::yield_now();
    }
    drop(stream);
    while backend.load().in_flight + backend.load().queued > usize::from(occupied) {
        thread::yield_now();
    }
    backend.update(|it| it.stalled = false);
    assert_eq!(backend.execution("cancelled"), executed);
    drop(holder);
}

#[test]
fn cancelled_in_slot() {
    let started = Execution { started: 1, ..Execution::default() };
    check(Settings::default(), false, started);
}

/// A request that is cancelled in the queue is never run.
#[test]
fn cancelled_in_queue() {
    check(Settings { slots: 1, ..Settings::default() }, true, Execution::default());
}
