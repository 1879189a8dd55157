//! Guards against a daemon that starts with invalid settings, reports only the
//! first fault, or prints a key.

#![expect(clippy::unwrap_used, reason = "a failed set-up fails the test")]

use std::fs;
use std::os::unix::fs::PermissionsExt;
use std::path::PathBuf;
use std::time::Duration;

use anvilloft_settings::ControlSettings;
use anvilloft_settings::GroupStart;
use anvilloft_settings::RouterSettings;
use anvilloft_settings::Secret;
use tempfile::TempDir;

const FLEET_KEY: &str = "0123456789abcdef0123456789abcdef-fleet";
const ENDPOINT_KEY: &str = "0123456789abcdef0123456789abcdef-endpoint";

const ROUTER_INI: &str = "\
[router]
name = r1
data_centre = dc1
caller_listen = 127.0.0.1:8000
peer_listen = 127.0.0.1:8001
[peers]
control = 127.0.0.1:7001, 127.0.0.1:7002
[limits]
connect_ms = 250
[key]
fleet_file = fleet.key
endpoint_file = endpoint.key
";

fn dir_with_keys() -> TempDir {
    let dir = tempfile::tempdir().unwrap();
    write_key(&dir, "fleet.key", FLEET_KEY, 0o600);
    write_key(&dir, "endpoint.key", ENDPOINT_KEY, 0o600);
    dir
}

fn write_key(dir: &TempDir, name: &str, key: &str, mode: u32) {
    let path = dir.path().join(name);
    fs::write(&path, format!("{key}\n")).unwrap();
    fs::set_permissions(&path, fs::Permissions::from_mode(mode)).unwrap();
}

fn write_ini(dir: &TempDir, text: &str) -> PathBuf {
    let path = dir.path().join("router.ini");
    fs::write(&path, text).unwrap();
    path
}

#[test]
fn a_correct_file_is_read_with_defaults_and_without_showing_keys() {
    let dir = dir_with_keys();
    let settings = RouterSettings::load(&write_ini(&dir, ROUTER_INI)).unwrap();
    assert_eq!(settings.connect, Duration::from_millis(250));
    assert_eq!(settings.gap, Duration::from_secs(10));
    assert_eq!(settings.control.len(), 2);
    assert_eq!(settings.caller_address(), settings.caller_listen);
    assert_eq!(settings.fleet_key.expose(), FLEET_KEY.as_bytes());
    assert!(!format!("{settings:?}").contains("0123456789abcdef"));
}

#[test]
fn every_fault_is_listed_at_once_with_file_section_and_key() {
    struct Case {
        from: &'static str,
        to: &'static str,
        section: &'static str,
        key: &'static str,
        message: &'static str,
    }
    let cases = [
        Case {
            from: "name = r1",
            to: "name = a/b",
            section: "router",
            key: "name",
            message: "letters",
        },
        Case {
            from: "data_centre = dc1\n",
            to: "",
            section: "router",
            key: "data_centre",
            message: "must be given",
        },
        Case {
            from: "127.0.0.1:8000",
            to: "host:8000",
            section: "router",
            key: "caller_listen",
            message: "not an address",
        },
        Case {
            from: "127.0.0.1:8001",
            to: "0.0.0.0:8001",
            section: "router",
            key: "peer_address",
            message: "names no host",
        },
        Case {
            from: "127.0.0.1:7002",
            to: "127.0.0.1:7001",
            section: "peers",
            key: "control",
            message: "twice",
        },
        Case {
            from: "connect_ms = 250",
            to: "connect_ms = 9",
            section: "limits",
            key: "connect_ms",
            message: "outside 10 to 60000 ms",
        },
        Case {
            from: "connect_ms = 250",
            to: "conect_ms = 250",
            section: "limits",
            key: "conect_ms",
            message: "unknown key",
        },
        Case {
            from: "connect_ms = 250",
            to: "connect_ms = 250\nconnect_ms = 9",
            section: "limits",
            key: "connect_ms",
            message: "given twice",
        },
        Case {
            from: "[limits]",
            to: "[limit]",
            section: "limit",
            key: "",
            message: "unknown section",
        },
        Case {
            from: "fleet_file = fleet.key",
            to: "fleet_file = none.key",
            section: "key",
            key: "fleet_file",
            message: "can't read",
        },
        Case {
            from: "endpoint.key",
            to: "fleet.key",
            section: "key",
            key: "endpoint_file",
            message: "holds the fleet key",
        },
    ];
    let dir = dir_with_keys();
    for case in &cases {
        let text = ROUTER_INI.replace(case.from, case.to);
        assert_ne!(text, ROUTER_INI);
        let path = write_ini(&dir, &text);
        let err = RouterSettings::load(&path).unwrap_err();
        let found = err.faults().iter().any(|fault| {
            fault.file == path.display().to_string()
                && fault.section == case.section
                && fault.key == case.key
                && fault.message.contains(case.message)
        });
        assert!(found, "{} -> {}: {err}", case.from, case.to);
    }
    let mut text = ROUTER_INI.to_owned();
    for case in &cases[..3] {
        text = text.replace(case.from, case.to);
    }
    let err = RouterSettings::load(&write_ini(&dir, &text)).unwrap_err();
    assert_eq!(err.faults().len(), 3, "{err}");
}

#[test]
fn a_key_that_others_can_read_is_refused_and_not_shown() {
    let dir = dir_with_keys();
    for mode in [0o640, 0o604, 0o660] {
        write_key(&dir, "fleet.key", FLEET_KEY, mode);
        let err = RouterSettings::load(&write_ini(&dir, ROUTER_INI)).unwrap_err();
        assert!(err.to_string().contains("fleet_file"), "{err}");
        assert!(!err.to_string().contains(FLEET_KEY), "{err}");
    }
    write_key(&dir, "fleet.key", "short", 0o600);
    let err = RouterSettings::load(&write_ini(&dir, ROUTER_INI)).unwrap_err();
    assert!(err.to_string().contains("shorter than 32"), "{err}");
}

#[test]
fn printed_defaults_are_accepted_once_the_missing_settings_are_given() {
    let dir = dir_with_keys();
    let given = [
        ("name", "c1"),
        ("data_centre", "dc1"),
        ("data_folder", "data"),
        ("peer_listen", "127.0.0.1:7001"),
        ("admin_listen", "127.0.0.1:7101"),
        ("fleet_file", "fleet.key"),
    ];
    let mut text = ControlSettings::defaults();
    for (key, value) in given {
        text = text.replace(&format!(";{key} ="), &format!("{key} = {value}"));
    }
    let settings = ControlSettings::load(&write_ini(&dir, &text)).unwrap();
    assert_eq!(settings.group, GroupStart::Join);
    assert_eq!(settings.data_folder, dir.path().join("data"));
    assert!(text.contains("Unit: ms. Range: 5 to 10000."), "{text}");
}

#[test]
fn builders_check_ranges_and_rules_between_settings() {
    let builder = ControlSettings::builder()
        .name("c1")
        .data_centre("dc1")
        .data_folder("/tmp/none")
        .peer_listen(([127, 0, 0, 1], 7001))
        .admin_listen(([127, 0, 0, 1], 7101))
        .fleet_key(Secret::new(FLEET_KEY));
    assert!(builder.clone().build().is_ok());
    let err = builder
        .election_min(Duration::from_millis(100))
        .election_max(Duration::from_millis(110))
        .build()
        .unwrap_err();
    let keys: Vec<&str> = err.faults().iter().map(|f| f.key.as_str()).collect();
    assert_eq!(keys, ["election_min_ms", "election_max_ms"]);
}
