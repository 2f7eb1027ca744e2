//! Prints the measured costs and their projection.

use comfy_table::Table;
use serde_json::json;

use super::Measured;
use super::projection::Projection;
use crate::stats::Line;
use crate::table::new_table;

/// Prints two tables, or one JSON value.
pub(super) fn print(measured: &Measured, projection: &Projection, json: bool) {
    if json {
        let value = json!({"measured": measured, "projection": projection});
        println!("{value:#}");
        return;
    }
    println!("{}", measured_table(measured));
    let mut table = new_table(&["role", "what", "at the planned size", "unit", "bound"]);
    for row in &projection.rows {
        let bound = row.bound.map_or_else(|| "-".to_owned(), |b| format!("{b}"));
        let mark = if row.holds { "" } else { " PASSED" };
        table.add_row([
            row.role.to_owned(),
            row.what.to_owned(),
            format!("{:.2}", row.value),
            row.unit.to_owned(),
            format!("{bound}{mark}"),
        ]);
    }
    println!("{table}");
}

fn measured_table(m: &Measured) -> Table {
    let mut table = new_table(&["measured", "at zero", "for each", "of"]);
    let mut line = |what: &str, line: Line, of: &str| {
        let cells = [
            what.to_owned(),
            format!("{:.2}", line.base),
            format!("{:.5}", line.slope),
            of.to_owned(),
        ];
        table.add_row(cells);
    };
    line("entry heartbeat, B", m.beats.entry_by_suspects, "suspect");
    line("side heartbeat, B", m.beats.side_by_models, "model");
    line("entry control, us/s", m.control.entry_us_by_beats, "heartbeat/s");
    line("side control, us/s", m.control.side_us_by_beats, "heartbeat/s");
    line("choice of a subset, us", m.control.subset_us_by_pairs, "entry x endpoint");
    line("ranks for shards, us", m.control.ranks_us_by_pairs, "entry x shard");
    line("job, writes", m.calls.job_writes_by_chunks, "chunk");
    line("job, reads", m.calls.job_reads_by_chunks, "chunk");
    line("entry, us a request", m.path.entry_us_by_tokens, "token");
    line("side, us a request", m.path.side_us_by_tokens, "token");
    let each = [
        ("heartbeat codec, us", m.beats.codec_us, "heartbeat"),
        ("memory, B", m.memory.peer, "peer"),
        ("memory, B", m.memory.client, "client"),
        ("memory, B", m.memory.job, "job"),
        ("memory, B", m.memory.chunk, "chunk"),
        ("memory, B", m.memory.open_item, "open item"),
        ("lease, writes", m.calls.writes_per_renewal, "renewal"),
        ("lease, reads", m.calls.reads_per_poll, "poll"),
        ("entry, us", m.path.entry_us_per_item, "batch item"),
        ("side, us", m.path.side_us_per_item, "batch item"),
    ];
    for (what, value, of) in each {
        line(what, Line { base: 0.0, slope: value }, of);
    }
    table
}
