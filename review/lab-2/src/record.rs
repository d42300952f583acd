//! The record of a case, and how the case ends.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::process::ExitCode;
use std::time::Instant;

use eyre::Result;

const BROKEN_EXIT: u8 = 1;
const NOT_RUN_EXIT: u8 = 2;

/// How a case ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The rule held.
    Held,
    /// The rule was broken.
    Broken,
}

/// The lines of `record.txt`, each with the milliseconds since the start of the case.
pub struct Record {
    file: File,
    started: Instant,
}

impl Record {
    /// Creates the record, in place of that of the run before.
    ///
    /// # Errors
    ///
    /// When the file cannot be written.
    pub fn create(path: &Path) -> Result<Self> {
        Ok(Record { file: File::create(path)?, started: Instant::now() })
    }

    /// Writes a line to the record and to standard output.
    pub fn line(&mut self, text: &str) {
        let line = format!("{:>7} ms  {text}", self.started.elapsed().as_millis());
        println!("{line}");
        if let Err(err) = writeln!(self.file, "{line}") {
            eprintln!("the record cannot be written: {err}");
        }
    }
}

impl Verdict {
    /// Returns the exit code of a case, which is that of a case that could not run for an error.
    pub fn exit_code(result: Result<Verdict>) -> ExitCode {
        match result {
            Ok(Verdict::Held) => ExitCode::SUCCESS,
            Ok(Verdict::Broken) => BROKEN_EXIT.into(),
            Err(err) => {
                eprintln!("the case could not run: {err:#}");
                NOT_RUN_EXIT.into()
            }
        }
    }
}

/// Reports whether the case is run with its disruption.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}
