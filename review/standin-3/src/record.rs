//! The record of a case: what was sent, answered and run.

use std::{
    fs::File,
    io::Write,
    sync::{Arc, Mutex},
    time::Instant,
};

/// Writes lines with the time since the start of the case.
#[derive(Clone)]
pub struct Record(Arc<(Instant, Mutex<File>)>);

impl Record {
    pub fn create(path: &str) -> Self {
        let file = File::create(path).expect("the record can be created");
        Self(Arc::new((Instant::now(), Mutex::new(file))))
    }

    /// Milliseconds since the start of the case.
    pub fn now_ms(&self) -> u64 {
        u64::try_from(self.0.0.elapsed().as_millis()).expect("a case is short")
    }

    pub fn line(&self, text: &str) {
        let line = format!("{:>6} ms  {text}\n", self.now_ms());
        let mut file = self.0.1.lock().expect("no writer panics");
        file.write_all(line.as_bytes()).expect("the record can be written");
    }
}
