//! Entry point of `mulberryshed-local`.

fn main() -> miette::Result<()> {
    let matches = mulberry_local::command::command().get_matches();
    actix_rt::System::new().block_on(mulberry_local::command::run(matches))?;
    Ok(())
}
