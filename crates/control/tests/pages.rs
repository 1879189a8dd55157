//! Guards against documentation pages that omit a call or show wrong defaults.

#![expect(clippy::unwrap_used, reason = "a failed set-up fails the test")]

use std::fs;

use anvilloft_control::admin::CALLS;
use anvilloft_ledger::DEFAULTS;

fn page(name: &str) -> String {
    let docs = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs");
    fs::read_to_string(format!("{docs}/{name}")).unwrap()
}

#[test]
fn the_api_page_describes_every_call() {
    let page = page("api.md");
    for spec in CALLS {
        let call = format!("`{} {}`", spec.method, spec.path);
        assert!(page.contains(&call), "{call}");
    }
}

#[test]
fn the_operations_page_lists_every_fleet_default() {
    let rows: Vec<String> = DEFAULTS
        .iter()
        .map(|d| {
            let team = if d.per_team { "yes" } else { "no" };
            format!(
                "| `{}` | {} | {} to {} | {team} | {} |",
                d.name, d.value, d.min, d.max, d.help
            )
        })
        .collect();
    let table = rows.join("\n");
    assert!(page("OPERATIONS.md").contains(&table), "\n{table}");
}
