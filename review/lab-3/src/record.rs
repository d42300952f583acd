//! The record of a run: what was sent, answered and run.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::time::Instant;

/// Writes lines with the time since the start.
pub struct Record {
    file: File,
    begin: Instant,
}

impl Record {
    /// Creates the file.
    ///
    /// # Errors
    ///
    /// When it cannot be written.
    pub fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Record { file: File::create(path)?, begin: Instant::now() })
    }

    /// Adds a line, which is also printed.
    pub fn line(&mut self, text: impl AsRef<str>) {
        let line = format!("{:8.3} {}", self.begin.elapsed().as_secs_f64(), text.as_ref());
        println!("{line}");
        let _ = writeln!(self.file, "{line}");
    }
}
