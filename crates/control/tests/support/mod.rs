//! A stand-in for the control group: one ledger without consensus, for tests of
//! the administration API alone.

use std::sync::Mutex;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use anvilloft_ledger::Ledger;
use anvilloft_types::BoxFuture;
use anvilloft_wire::CallError;
use anvilloft_wire::Control;
use anvilloft_wire::ControlReply;
use anvilloft_wire::ControlRequest;
use anvilloft_wire::control::Answer;
use anvilloft_wire::control::Request;

/// Status of a group with one member, in the form of the control thread.
pub(crate) const GROUP_STATUS: &str = r#"{"leader":"0000000000000001","members":[{"id":"0000000000000001","address":"127.0.0.1:1","voter":true}]}"#;

/// A ledger that applies commands at once.
#[derive(Default)]
pub(crate) struct OneLedger {
    pub(crate) ledger: Mutex<Ledger>,
    /// Length of the largest query result so far, in bytes.
    pub(crate) largest: AtomicUsize,
    /// Error to return for every call instead of an answer.
    pub(crate) fail: Mutex<Option<CallError>>,
}

impl Control for OneLedger {
    fn call(
        &self,
        req: ControlRequest,
        _timeout: Duration,
    ) -> BoxFuture<'_, Result<ControlReply, CallError>> {
        let answer = || {
            if let Some(err) = self.fail.lock().unwrap().clone() {
                return Err(err);
            }
            let mut ledger = self.ledger.lock().unwrap();
            Ok(match req.request {
                Some(Request::Propose(cmd)) => {
                    let reply = ledger.apply(&cmd);
                    ledger.assert_invariants();
                    Answer::Applied(reply)
                }
                Some(Request::Query(q)) => match ledger.query(&q) {
                    Ok(json) => {
                        self.largest.fetch_max(json.len(), Ordering::SeqCst);
                        Answer::QueryResult(json)
                    }
                    Err(err) => Answer::Unavailable(err.to_string()),
                },
                Some(Request::Group(_)) => Answer::QueryResult(GROUP_STATUS.to_owned()),
                Some(
                    Request::Renew(_) | Request::Loan(_) | Request::Table(_) | Request::Copy(_),
                )
                | None => Answer::Unavailable("not supported by this stand-in".to_owned()),
            })
        };
        let result = answer().map(ControlReply::from);
        Box::pin(async move { result })
    }
}
