//! `bundle history`: lists the recorded rolls, latest first.

use mulberry_platform::store::parse_json;
use mulberry_policy::store_budget::CallClass;
use mulberry_protocol::bundle::RollRecord;
use mulberry_protocol::object_key;

use crate::context::CtlContext;
use crate::error::CtlError;
use crate::output::new_table;
use crate::output::print_result;

/// Prints the number, version, operator, time and digest of each roll.
pub(crate) async fn run(cx: &CtlContext) -> Result<(), CtlError> {
    let listed = cx.store.list_all(CallClass::Listing, object_key::ROLLS, true).await?;
    let records: Result<Vec<RollRecord>, _> = listed.0.iter().rev().map(parse_json).collect();
    print_result(cx.json, &records?, |records| {
        let mut table = new_table(&["number", "version", "by", "at (Unix s)", "digest"]);
        for r in records {
            let by = r.in_force.by.to_string();
            let cells = [
                r.in_force.number.to_string(),
                r.version.clone(),
                by,
                r.at_s.to_string(),
                r.in_force.digest.short().to_owned(),
            ];
            table.add_row(cells);
        }
        table.to_string()
    });
    Ok(())
}
