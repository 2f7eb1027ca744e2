//! Entry point of `mulberryshedctl`.

use std::process::ExitCode;

fn main() -> ExitCode {
    let matches = mulberry_ctl::command::command().get_matches();
    let result = actix_rt::System::new().block_on(mulberry_ctl::command::run(matches));
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            let code = error.exit_code();
            eprintln!("{:?}", miette::Report::new(error));
            ExitCode::from(code)
        }
    }
}
