//! Runs one case of the review: exit code 1 if its rule was broken, 0 if it held, 2 if it could not run.

mod crowd;
mod fleet;
mod record;

use std::path::PathBuf;
use std::process::ExitCode;

#[tokio::main]
async fn main() -> ExitCode {
    let mut args = std::env::args().skip(1);
    let (Some(case), Some(folder)) = (args.next(), args.next()) else {
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let Ok(mut record) = record::Record::create(&PathBuf::from(folder).join("record.txt")) else {
        return ExitCode::from(2);
    };
    let held = match case.as_str() {
        "crowd" => crowd::run(trouble, &mut record).await,
        _ => return ExitCode::from(2),
    };
    match held {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(err) => {
            record.line(format!("the case could not run: {err:#}"));
            ExitCode::from(2)
        }
    }
}
