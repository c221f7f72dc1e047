//! The record of a run: one line an event, with the milliseconds since the start.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started_at: Instant,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Self {
            file: Arc::new(Mutex::new(File::create(path)?)),
            started_at: Instant::now(),
        })
    }

    pub fn line(&self, text: &str) {
        let at = self.started_at.elapsed().as_millis();
        let mut file = self.file.lock().unwrap_or_else(PoisonError::into_inner);
        // A record that can't be written shows in the missing verdict.
        drop(writeln!(file, "{at:>7} ms  {text}"));
    }
}
