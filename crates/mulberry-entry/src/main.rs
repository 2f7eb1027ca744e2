//! Runs the entry process.

fn main() -> miette::Result<()> {
    let matches = mulberry_entry::command::command().get_matches();
    actix_rt::System::new().block_on(mulberry_entry::command::run(matches))?;
    Ok(())
}
