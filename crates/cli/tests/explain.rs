//! Runs the `anvilloft explain` command and checks its output and exit code.

use std::fs;
use std::process::Command;

const ROUTED: &str = r#"{"msg":"decision","level":"INFO","ts":"01","host":"a","decision":"route","endpoint":"e","request":"r1"}"#;
const ANSWERED: &str =
    r#"{"msg":"answered","level":"INFO","ts":"02","host":"a","status":200,"request":"r1"}"#;

/// Guards against a wrong exit code, a log line of the request that is left out,
/// and a missing file that is treated as an empty log.
#[test]
fn a_request_is_traced_through_several_files() {
    struct Case {
        id: &'static str,
        files: &'static [&'static str],
        code: i32,
        /// Start of each line of the standard output.
        out: &'static [&'static str],
        /// Text contained in the standard error.
        err: &'static str,
    }
    let cases = [
        Case {
            id: "r1",
            files: &["end", "sent"],
            code: 0,
            out: &["01 a decision", "02 a answered", "cause: answered"],
            err: "",
        },
        Case {
            id: "r1",
            files: &["sent"],
            code: 1,
            out: &["01 a decision"],
            err: "missing: the end of the request after 01 at host a",
        },
        Case {
            id: "r2",
            files: &["sent", "end"],
            code: 1,
            out: &[],
            err: "none of 2 lines has request \"r2\"",
        },
        Case {
            id: "r1",
            files: &["absent"],
            code: 2,
            out: &[],
            err: "absent: No such file",
        },
    ];
    let folder = tempfile::tempdir().unwrap_or_else(|e| panic!("create a temporary folder: {e}"));
    for (name, line) in [("sent", ROUTED), ("end", ANSWERED)] {
        fs::write(folder.path().join(name), line).unwrap_or_else(|e| panic!("write {name}: {e}"));
    }
    for c in cases {
        let output = Command::new(env!("CARGO_BIN_EXE_anvilloft"))
            .current_dir(folder.path())
            .args(["explain", c.id])
            .args(c.files)
            .output()
            .unwrap_or_else(|e| panic!("run anvilloft: {e}"));
        let out = String::from_utf8_lossy(&output.stdout);
        let err = String::from_utf8_lossy(&output.stderr);
        let context = format!("{} {:?}: {out}{err}", c.id, c.files);
        assert_eq!(output.status.code(), Some(c.code), "{context}");
        assert_eq!(out.lines().count(), c.out.len(), "{context}");
        for (line, prefix) in out.lines().zip(c.out) {
            assert!(line.starts_with(prefix), "{context}");
        }
        assert!(err.contains(c.err), "{context}");
    }
}
