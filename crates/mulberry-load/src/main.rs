//! Program `mulberryshed-load`: runs the experiment that the command line names.

fn main() -> miette::Result<()> {
    let matches = mulberry_load::command::command().get_matches();
    actix_rt::System::new().block_on(mulberry_load::command::run(matches))?;
    Ok(())
}
