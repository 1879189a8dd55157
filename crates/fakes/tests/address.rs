//! Tests for the addresses that are handed out to tests.

#![expect(clippy::unwrap_used, reason = "a failed set-up fails the test")]

use std::collections::HashSet;
use std::io::BufRead;
use std::io::BufReader;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;

use anvilloft_fakes::free_address;

const PROCESSES: usize = 8;
const ADDRESSES: usize = 200;
/// Set in the child processes of the test.
const CHILD: &str = "ANVILLOFT_ADDRESS_CHILD";

fn spawn_child() -> Child {
    let mut command = Command::new(std::env::current_exe().unwrap());
    command
        .args(["--nocapture", "--exact"])
        .arg("processes_that_run_at_once_get_different_addresses")
        .env(CHILD, "1")
        .stdin(Stdio::piped())
        .stdout(Stdio::piped());
    command.spawn().unwrap()
}

/// Guards against tests of several processes that take each other's addresses.
#[test]
fn processes_that_run_at_once_get_different_addresses() {
    if std::env::var_os(CHILD).is_some() {
        for _ in 0..ADDRESSES {
            println!("address {}", free_address());
        }
        // Keeps the process until the parent has read all addresses.
        std::io::stdin().read_line(&mut String::new()).unwrap();
        return;
    }
    let mut children: Vec<Child> = (0..PROCESSES).map(|_| spawn_child()).collect();
    let mut addresses = Vec::new();
    let mut outputs = Vec::new();
    for child in &mut children {
        let mut lines = BufReader::new(child.stdout.take().unwrap()).lines();
        let found = lines
            .by_ref()
            .map(Result::unwrap)
            .filter_map(|l| l.split_once("address ").map(|(_, a)| a.to_owned()));
        addresses.extend(found.take(ADDRESSES));
        outputs.push(lines);
    }
    for child in &mut children {
        drop(child.stdin.take());
        assert!(child.wait().unwrap().success());
    }
    assert_eq!(addresses.len(), PROCESSES * ADDRESSES);
    let different: HashSet<&String> = addresses.iter().collect();
    assert_eq!(different.len(), addresses.len(), "different addresses");
}
