//! Exit codes of the programs.

use std::process::ExitCode;

use eyre::{Report, Result};

const EXIT_INVALID_SETTINGS: u8 = 2;
const EXIT_START_FAILED: u8 = 3;
const EXIT_REQUESTS_ABORTED: u8 = 4; // stopped before all requests had ended

/// Prints why the settings of `program` are rejected, and returns the exit code.
pub fn report_invalid_settings(program: &str, err: &Report) -> ExitCode {
    eprintln!("{program}: {err:#}");
    ExitCode::from(EXIT_INVALID_SETTINGS)
}

/// Returns the exit code for the result of `program`: `Ok(true)` when it stopped after every
/// request had ended, `Ok(false)` when requests were aborted, an error when it could not start.
/// Logs and prints the error.
pub fn exit_code(program: &str, result: Result<bool>) -> ExitCode {
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(EXIT_REQUESTS_ABORTED),
        Err(err) => {
            log::error!(target: "main", error:% = format!("{err:#}"); "The process could not start.");
            eprintln!("{program}: {err:#}");
            ExitCode::from(EXIT_START_FAILED)
        }
    }
}
