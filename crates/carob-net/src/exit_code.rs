//! How a process of ours ends.

use std::process::ExitCode;

use eyre::{Report, Result};

const EXIT_SETTINGS: u8 = 2; // bad settings
const EXIT_START: u8 = 3; // the process could not start
const EXIT_CUT: u8 = 4; // stopped with requests cut off

/// Tells that the settings of `program` cannot be used.
pub fn report_invalid_settings(program: &str, err: &Report) -> ExitCode {
    eprintln!("{program}: {err:#}");
    ExitCode::from(EXIT_SETTINGS)
}

/// The exit code of `program` after it stopped, with every request ended or not, or could not
/// start.
pub fn exit_code(program: &str, result: Result<bool>) -> ExitCode {
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(EXIT_CUT),
        Err(err) => {
            log::error!(target: "main", error:% = format!("{err:#}"); "The process could not start.");
            eprintln!("{program}: {err:#}");
            ExitCode::from(EXIT_START)
        }
    }
}
