//! Guards against documentation whose settings tables or samples differ from the
//! code.

use std::fs;
use std::os::unix::fs::PermissionsExt;

use anvilloft_settings::ControlSettings;
use anvilloft_settings::RouterSettings;
use anvilloft_settings::SettingSpec;
use anvilloft_settings::SettingsError;

const DOCS: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs");

fn row(spec: &SettingSpec) -> String {
    let default = match spec.default {
        None => "must be given".to_owned(),
        Some("") => "empty".to_owned(),
        Some(text) => format!("`{text}`"),
    };
    let range = match spec.max {
        0 => String::new(),
        max => format!("{} to {max}", spec.min),
    };
    let help = spec.help.replace('\n', " ");
    format!(
        "| `[{}] {}` | {} | {default} | {range} | {} |",
        spec.section,
        spec.key,
        spec.unit,
        help.split_whitespace().collect::<Vec<_>>().join(" ")
    )
}

#[test]
fn the_page_lists_every_setting_with_unit_default_and_range() {
    let page = fs::read_to_string(format!("{DOCS}/OPERATIONS.md")).unwrap();
    for (daemon, specs) in [
        ("anvilloft-control", ControlSettings::specs()),
        ("anvilloft-router", RouterSettings::specs()),
    ] {
        let rows: Vec<String> = specs.iter().map(row).collect();
        let table = rows.join("\n");
        assert!(
            page.contains(&table),
            "{daemon} in docs/OPERATIONS.md:\n{table}"
        );
    }
}

#[test]
fn the_samples_have_no_faults() {
    let dir = tempfile::tempdir().unwrap();
    for name in ["fleet", "endpoint"] {
        let path = dir.path().join(format!("{name}.key"));
        fs::write(&path, format!("{name}-0123456789abcdef0123456789abcdef")).unwrap();
        fs::set_permissions(&path, fs::Permissions::from_mode(0o600)).unwrap();
    }
    let load = |name: &str| {
        let sample = fs::read_to_string(format!("{DOCS}/samples/{name}.ini")).unwrap();
        let path = dir.path().join(name);
        fs::write(&path, sample.replace("/etc/anvilloft/", "")).unwrap();
        path
    };
    let control = ControlSettings::load(&load("control")).map(drop);
    let router = RouterSettings::load(&load("router")).map(drop);
    assert_eq!(control, Ok::<_, SettingsError>(()));
    assert_eq!(router, Ok::<_, SettingsError>(()));
}
