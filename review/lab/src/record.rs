//! The record of a run, and how it ends.

use std::fmt::Display;
use std::fs::File;
use std::io::Write;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use carob_net::lock;

use crate::Result;

/// Exit code of a run in which the rule was broken.
const BROKEN: u8 = 1;
/// Exit code of a run that could not be made.
const NOT_RUN: u8 = 2;

/// Writes what was sent, answered and run to `record.txt`.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
}

/// Whether the run has the disruption: `TROUBLE=0` leaves it out.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

impl Record {
    /// Opens the record in the case's folder, which the first argument names.
    ///
    /// # Errors
    ///
    /// When the file cannot be written.
    pub fn open() -> Result<Self> {
        let folder = std::env::args_os().nth(1).map(PathBuf::from).ok_or("no folder is named")?;
        let file = File::create(folder.join("record.txt"))?;
        Ok(Record { file: Arc::new(Mutex::new(file)), started: Instant::now() })
    }

    /// Returns the time since the start of the run.
    pub fn elapsed(&self) -> Duration {
        self.started.elapsed()
    }

    /// Writes a line.
    pub fn line(&self, text: impl Display) {
        let line = format!("{:8.3} {text}\n", self.elapsed().as_secs_f64());
        if let Err(err) = lock(&self.file).write_all(line.as_bytes()) {
            eprintln!("record: {err}");
        }
    }
}

/// Turns the result of a run, the number of breaches, into the exit code.
pub fn exit_code(result: Result<usize>) -> ExitCode {
    match result {
        Ok(0) => {
            println!("the rule held");
            ExitCode::SUCCESS
        }
        Ok(breaches) => {
            println!("the rule was broken: {breaches}");
            ExitCode::from(BROKEN)
        }
        Err(err) => {
            println!("the case could not run: {err}");
            ExitCode::from(NOT_RUN)
        }
    }
}
