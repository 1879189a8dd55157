use std::sync::Arc;
use std::sync::Mutex;

use anvilloft_types::lock;
use anvilloft_wire::CallError;
use slog::Drain;
use slog::KV;
use slog::Logger;
use slog::Never;
use slog::OwnedKVList;
use slog::Record;
use slog::Serializer;

use super::UnansweredCalls;

/// Drain that keeps the reasons of the lines.
struct Reasons(Arc<Mutex<Vec<String>>>);

impl Drain for Reasons {
    type Ok = ();
    type Err = Never;

    fn log(&self, record: &Record<'_>, _: &OwnedKVList) -> Result<(), Never> {
        let mut line = Line(&self.0);
        let _ = record.kv().serialize(record, &mut line);
        Ok(())
    }
}

struct Line<'a>(&'a Mutex<Vec<String>>);

impl Serializer for Line<'_> {
    fn emit_arguments(&mut self, key: slog::Key, val: &std::fmt::Arguments<'_>) -> slog::Result {
        if key == "reason" {
            lock(self.0).push(val.to_string());
        }
        Ok(())
    }
}

/// Guards against a caller that leaves unlogged because a call was refused in the same
/// second.
#[test]
fn a_caller_that_leaves_after_a_refusal_is_logged() {
    let reasons = Arc::<Mutex<Vec<String>>>::default();
    let log = Logger::root(Reasons(Arc::clone(&reasons)), slog::o!());
    let calls = UnansweredCalls::new(log);
    for _ in 0..2 {
        let refused = Err(CallError::Unavailable("no leader is known".to_owned()));
        calls.begin_call().end(&refused);
        drop(calls.begin_call());
    }
    assert_eq!(*lock(&reasons), ["no leader is known", "the caller left"]);
}
