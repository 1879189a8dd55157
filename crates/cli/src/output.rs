//! Output as tables for people and as JSON for programs.

use std::io::Write;

use clap::ArgMatches;
use serde_json::Value;

/// Prints a value as JSON with `--json`, and as a table otherwise.
pub(crate) fn print(args: &ArgMatches, value: &Value) {
    write(&match args.get_flag("json") {
        true => format!("{value}\n"),
        false => format_table(value),
    });
}

/// Writes to standard output. Errors are ignored, because a reader such as
/// `head` may close the pipe early.
pub(crate) fn write(text: &str) {
    let _ = std::io::stdout().write_all(text.as_bytes());
}

/// Formats a list of objects as a table, and an object as lines.
pub(crate) fn format_table(value: &Value) -> String {
    match value {
        Value::Array(rows) if rows.iter().all(Value::is_object) => format_rows(rows),
        Value::Array(rows) => rows
            .iter()
            .map(|row| format!("{}\n", format_cell(row)))
            .collect(),
        Value::Object(fields) => {
            let width = fields.keys().map(String::len).max().unwrap_or(0);
            let mut out = String::new();
            for (name, value) in fields {
                match value {
                    Value::Array(rows) if rows.iter().all(Value::is_object) => {
                        out.push_str(&format!("\n{name}:\n{}", format_rows(rows)));
                    }
                    Value::Object(_) => {
                        out.push_str(&format!("\n{name}:\n{}", format_table(value)));
                    }
                    _ => out.push_str(&format!("{name:width$}  {}\n", format_cell(value))),
                }
            }
            out
        }
        _ => format!("{}\n", format_cell(value)),
    }
}

fn format_cell(value: &Value) -> String {
    match value {
        Value::Null => "-".to_owned(),
        // A name or reason may contain control characters, which must not reach
        // a terminal.
        Value::String(text) => text
            .chars()
            .map(|c| if c.is_control() { ' ' } else { c })
            .collect(),
        other => other.to_string(),
    }
}

fn format_rows(rows: &[Value]) -> String {
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
    // The name is the first column; the others keep the order of the response.
    columns.sort_by_key(|column| *column != "name");
    let mut lines: Vec<Vec<String>> = vec![columns.iter().map(|c| (*c).to_owned()).collect()];
    for row in rows {
        lines.push(
            columns
                .iter()
                .map(|column| format_cell(&row[*column]))
                .collect(),
        );
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
