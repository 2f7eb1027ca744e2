//! Tables for the terminal.

use comfy_table::Table;
use comfy_table::presets::UTF8_FULL_CONDENSED;

/// Returns an empty table with these column headings.
pub(crate) fn new_table(header: &[&str]) -> Table {
    let mut table = Table::new();
    table.load_preset(UTF8_FULL_CONDENSED).set_header(header.to_vec());
    table
}
