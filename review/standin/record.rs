//! The record of a case: what was sent, answered and run.

use std::{
    fs::File,
    io::Write,
    path::Path,
    sync::{Arc, Mutex},
    time::Instant,
};

/// A file of lines with times, shared by threads.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(folder: &str) -> Self {
        let file = File::create(Path::new(folder).join("record.txt")).expect("record.txt");
        Self { start: Instant::now(), file: Arc::new(Mutex::new(file)) }
    }

    pub fn line(&self, text: &str) {
        let ms = self.start.elapsed().as_millis();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:>7.3} {text}", ms as f64 / 1_000.0);
        println!("{:>7.3} {text}", ms as f64 / 1_000.0);
    }
}
