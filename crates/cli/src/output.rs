//! Tables for people and JSON for programs.

use std::io::Write;

use clap::ArgMatches;
use serde_json::Value;

/// Prints a value as JSON with `--json`, and as a table otherwise.
pub(crate) fn print(args: &ArgMatches, value: &Value) {
    write(&match args.get_flag("json") {
        true => format!("{value}\n"),
        false => table(value),
    });
}

/// Writes to standard output. A reader that has seen enough, such as `head`,
/// is no fault.
pub(crate) fn write(text: &str) {
    let _ = std::io::stdout().write_all(text.as_bytes());
}

/// Formats a list of objects as a table, and an object as lines.
pub(crate) fn table(value: &Value) -> String {
    match value {
        Value::Array(rows) if rows.iter().all(Value::is_object) => rows_table(rows),
        Value::Array(rows) => rows.iter().map(|row| format!("{}\n", cell(row))).collect(),
        Value::Object(fields) => {
            let width = fields.keys().map(String::len).max().unwrap_or(0);
            let mut out = String::new();
            for (name, value) in fields {
                match value {
                    Value::Array(rows) if rows.iter().all(Value::is_object) => {
                        out.push_str(&format!("\n{name}:\n{}", rows_table(rows)));
                    }
                    Value::Object(_) => {
                        out.push_str(&format!("\n{name}:\n{}", table(value)));
                    }
                    _ => out.push_str(&format!("{name:width$}  {}\n", cell(value))),
                }
            }
            out
        }
        _ => format!("{}\n", cell(value)),
    }
}

fn cell(value: &Value) -> String {
    match value {
        Value::Null => "-".to_owned(),
        // Control characters of a name or reason must not reach a terminal.
        Value::String(text) => text
            .chars()
            .map(|c| if c.is_control() { ' ' } else { c })
            .collect(),
        other => other.to_string(),
    }
}

fn rows_table(rows: &[Value]) -> String {
    if rows.is_empty() {
        return "none\n".to_owned();
    }
    let mut columns: Vec<&str> = Vec::new();
    for field in rows
        .iter()
        .filter_map(Value::as_object)
        .flat_map(|row| row.keys())
    {
        if !columns.contains(&field.as_str()) {
            columns.push(field);
        }
    }
    // The name leads; the rest keeps the order of the answer.
    columns.sort_by_key(|column| *column != "name");
    let mut lines: Vec<Vec<String>> = vec![columns.iter().map(|c| (*c).to_owned()).collect()];
    for row in rows {
        lines.push(columns.iter().map(|column| cell(&row[*column])).collect());
    }
    let widths: Vec<usize> = (0..columns.len())
        .map(|i| {
            lines
                .iter()
                .map(|line| line[i].chars().count())
                .max()
                .unwrap_or(0)
        })
        .collect();
    let mut out = String::new();
    for line in lines {
        let padded: Vec<String> = line
            .iter()
            .zip(&widths)
            .map(|(text, width)| format!("{text:width$}"))
            .collect();
        out.push_str(padded.join("  ").trim_end());
        out.push('\n');
    }
    out
}
