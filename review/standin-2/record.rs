//! What was sent, answered and run.

use std::{
    fs::File,
    io::Write,
    path::Path,
    sync::Mutex,
    time::{Duration, Instant},
};

/// Writes lines with the time since the start of the case.
pub struct Record {
    started: Instant,
    file: Mutex<File>,
}

impl Record {
    /// Creates `record.txt` in `folder`.
    pub fn new(folder: &Path) -> std::io::Result<Self> {
        let file = Mutex::new(File::create(folder.join("record.txt"))?);
        Ok(Self { started: Instant::now(), file })
    }

    /// Writes a line.
    pub fn line(&self, text: &str) {
        let at = self.now().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:9.4} {text}");
        println!("{at:9.4} {text}");
    }

    /// Time since the start.
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }
}
