//! Starts and ends evacuations of data centres for operators.

use std::time::Duration;

use anvilloft_ledger::code;
use anvilloft_wire::CallError;
use anvilloft_wire::Control;
use anvilloft_wire::ControlRequest;
use anvilloft_wire::command::Body;
use anvilloft_wire::command::Evacuate;
use anvilloft_wire::command::Evacuations;
use anvilloft_wire::command::Refused;
use anvilloft_wire::command::Reply;
use anvilloft_wire::control::Answer;
use anvilloft_wire::control::Query;
use quick_error::quick_error;
use tokio::time::Instant;

quick_error! {
    /// Why an evacuation was not acknowledged.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum EvacuationError {
        /// The ledger refused the command.
        Refused(refused: Refused) {
            display("{}", refused.message)
            from()
        }
        /// The control group has not answered.
        Call(err: CallError) {
            display("{}", err)
            from()
        }
    }
}

impl EvacuationError {
    /// Whether the same call may succeed later.
    pub fn is_transient(&self) -> bool {
        match self {
            Self::Refused(refused) => refused.code == code::EVACUATION_CHANGED,
            Self::Call(_) => true,
        }
    }
}

/// Starts or ends the evacuation of a data centre, and returns the state after that.
///
/// The version in force is read first and goes with the command, so that a copy that a
/// slow connection delivers after a later change is refused and doesn't undo it.
///
/// # Errors
///
/// `Refused` for an invalid name, a limit or a change at the same time; `Call` if the group
/// has not answered within `timeout`.
pub async fn evacuate(
    control: &dyn Control,
    mut command: Evacuate,
    timeout: Duration,
) -> Result<Evacuations, EvacuationError> {
    let deadline = Instant::now() + timeout;
    command.base_version = Some(read_version(control, timeout).await?);
    let left = deadline.saturating_duration_since(Instant::now());
    match call(control, Body::Evacuate(command).into(), left).await? {
        Answer::Applied(reply) => match reply.reply {
            Some(Reply::Evacuations(evacuations)) => Ok(evacuations),
            Some(Reply::Refused(refused)) => Err(refused.into()),
            _ => Err(unexpected().into()),
        },
        _ => Err(unexpected().into()),
    }
}

async fn read_version(control: &dyn Control, timeout: Duration) -> Result<u64, CallError> {
    let query = Query {
        kind: "evacuations".to_owned(),
        limit: 1,
        ..Query::default()
    };
    match call(control, query.into(), timeout).await? {
        Answer::QueryResult(text) => serde_json::from_str::<serde_json::Value>(&text)
            .ok()
            .and_then(|state| state["version"].as_u64())
            .ok_or_else(unexpected),
        _ => Err(unexpected()),
    }
}

async fn call(
    control: &dyn Control,
    req: ControlRequest,
    timeout: Duration,
) -> Result<Answer, CallError> {
    let reply = control.call(req, timeout).await?.into_result()?;
    match reply.answer {
        Some(Answer::NotLeader(_)) | None => {
            Err(CallError::Unavailable("no leader is known".to_owned()))
        }
        Some(answer) => Ok(answer),
    }
}

/// Returns the error for a reply of another kind, as an older member may give.
fn unexpected() -> CallError {
    CallError::Unknown("unexpected reply from the control group".to_owned())
}
