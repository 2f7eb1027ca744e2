//! Prints the results of commands as text or as JSON.

use comfy_table::Table;
use comfy_table::presets::UTF8_FULL_CONDENSED;
use serde::Serialize;

/// Prints a value as JSON, or as the text that `format_text` returns.
pub(crate) fn print_result<T: Serialize>(
    json: bool,
    value: &T,
    format_text: impl Fn(&T) -> String,
) {
    let text = if json {
        serde_json::to_string_pretty(value).unwrap_or_else(|e| format!("{{\"error\":\"{e}\"}}"))
    } else {
        format_text(value)
    };
    println!("{text}");
}

/// Returns an empty table with the given column headings.
pub(crate) fn new_table(header: &[&str]) -> Table {
    let mut table = Table::new();
    table.load_preset(UTF8_FULL_CONDENSED).set_header(header.to_vec());
    table
}
