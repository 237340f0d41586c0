//! Lines that are queued when a process ends are written, unless the reader stands still. This test
//! needs a process of its own, since a process has one log.

use std::{
    io::{self, Write},
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::Duration,
};

use gateway::logs;

/// Time that the output takes for a line.
const WRITE_TIME: Duration = Duration::from_millis(5);
const LINES: usize = 20;

#[derive(Clone, Default)]
struct SlowOutput {
    lines: Arc<AtomicUsize>,
    is_stuck: Arc<AtomicBool>,
}

impl Write for SlowOutput {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        thread::sleep(WRITE_TIME);
        while self.is_stuck.load(Ordering::Relaxed) {
            thread::sleep(WRITE_TIME);
        }
        self.lines.fetch_add(1, Ordering::Relaxed);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn log_flush() {
    let output = SlowOutput::default();
    logs::start(log::LevelFilter::Info, output.clone()).unwrap();
    (0..LINES).for_each(|it| log::info!("event=test number={it}"));
    logs::flush(Duration::from_mins(1));
    assert_eq!(output.lines.load(Ordering::Relaxed), LINES);

    output.is_stuck.store(true, Ordering::Relaxed);
    log::info!("event=test number=stuck");
    logs::flush(Duration::from_millis(50));
    assert_eq!(output.lines.load(Ordering::Relaxed), LINES);
}
