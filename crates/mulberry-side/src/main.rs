//! Runs the side process.

fn main() -> miette::Result<()> {
    let matches = mulberry_side::command::command().get_matches();
    actix_rt::System::new().block_on(mulberry_side::command::run(matches))?;
    Ok(())
}
