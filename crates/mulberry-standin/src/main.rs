//! Runs one stand-in as a process of its own.

fn main() -> miette::Result<()> {
    let matches = mulberry_standin::command::command().get_matches();
    actix_rt::System::new().block_on(mulberry_standin::command::run(matches))?;
    Ok(())
}
