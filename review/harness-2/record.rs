//! The record of a case.

use std::fs::File;
use std::io::Write;
use std::path::Path;

/// What was sent, answered and run, line by line.
pub struct Record(File);

impl Record {
    pub fn new(path: &Path) -> Self {
        Self(File::create(path).expect("the record's folder"))
    }

    pub fn line(&mut self, text: &str) {
        writeln!(self.0, "{text}").expect("the record");
    }
}
