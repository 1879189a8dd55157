//! Requests about the membership of the control group.

use anvilloft_consensus::MemberChange;
use anvilloft_consensus::ProposeError;
use anvilloft_wire::CallError;
use anvilloft_wire::ControlReply;
use anvilloft_wire::command::CommandReply;
use anvilloft_wire::command::Ok as Done;
use anvilloft_wire::command::Refused;
use anvilloft_wire::command::Reply;
use anvilloft_wire::control::Answer;
use anvilloft_wire::control::GroupAction;
use anvilloft_wire::control::GroupRequest;
use serde_json::Value;
use serde_json::json;

use crate::driver::Handle;
use crate::driver::Status;
use crate::peers::Peers;

/// Formats a member's identity; JSON numbers lose digits in many readers.
pub(crate) fn show(member: u64) -> String {
    format!("{member:016x}")
}

/// Runs a request on this member.
pub(crate) async fn run(
    handle: &Handle,
    peers: &Peers,
    req: &GroupRequest,
) -> Result<ControlReply, CallError> {
    let status = handle.status().borrow().clone();
    if !status.leads {
        return Ok(Answer::NotLeader(status.leader_address).into());
    }
    let member = req.member;
    let find = status.membership.members.iter().find(|m| m.id == member);
    let change = match GroupAction::try_from(req.action) {
        Err(_) => return Ok(refused("malformed", "unknown action")),
        Ok(GroupAction::Status) => {
            let text = to_json(&status, peers).to_string();
            return Ok(Answer::QueryResult(text).into());
        }
        // Each action is done already when an earlier request did it.
        Ok(GroupAction::AddLearner) => match find {
            Some(old) if old.address == req.address => return Ok(done()),
            Some(_) => return Ok(refused("member_exists", "the member has another address")),
            None => MemberChange::AddLearner {
                id: member,
                address: req.address.clone(),
            },
        },
        Ok(GroupAction::Promote) => match find {
            Some(old) if old.voter => return Ok(done()),
            Some(_) => MemberChange::Promote(member),
            None => return Ok(refused("unknown_member", "there is no such member")),
        },
        Ok(GroupAction::Remove) => match find {
            Some(_) => MemberChange::Remove(member),
            None => return Ok(done()),
        },
    };
    match handle.change(change).await {
        // The answer waits for the commit, so that a restart can't undo it.
        Ok(()) => Ok(wait(handle).await),
        Err(ProposeError::NotLeader) => {
            let hint = handle.status().borrow().leader_address.clone();
            Ok(Answer::NotLeader(hint).into())
        }
        Err(err @ (ProposeError::Busy | ProposeError::ChangePending)) => {
            Ok(Answer::Unavailable(err.to_string()).into())
        }
        Err(err @ ProposeError::NotCaughtUp) => Ok(refused("not_caught_up", &err.to_string())),
        Err(err) => Ok(refused("invalid_change", &err.to_string())),
    }
}

/// Waits until no change is pending; the caller bounds the time.
async fn wait(handle: &Handle) -> ControlReply {
    let mut status = handle.status();
    let term = status.borrow().term;
    match status.wait_for(|s| !s.changing || s.term != term).await {
        Ok(s) if s.term == term => done(),
        _ => Answer::Unknown("leadership was lost".to_owned()).into(),
    }
}

fn done() -> ControlReply {
    let reply = Some(Reply::Ok(Done {}));
    Answer::Applied(CommandReply { reply }).into()
}

fn refused(code: &str, message: &str) -> ControlReply {
    let reply = Some(Reply::Refused(Refused {
        code: code.to_owned(),
        message: message.to_owned(),
    }));
    Answer::Applied(CommandReply { reply }).into()
}

fn to_json(status: &Status, peers: &Peers) -> Value {
    let members: Vec<Value> = status
        .membership
        .members
        .iter()
        .map(|m| {
            let session = peers.member(m.id);
            json!({
                "id": show(m.id),
                "name": session.as_ref().map(|s| s.peer().node.clone()),
                "data_centre": session.as_ref().map(|s| s.peer().data_centre.clone()),
                "address": m.address,
                "voter": m.voter,
                "leader": status.leader == Some(m.id),
                "silent": m.id != status.id && session.is_none(),
                "round_trip_ms": session
                    .and_then(|s| s.round_trip())
                    .map(|rtt| rtt.time.as_secs_f64() * 1000.0),
            })
        })
        .collect();
    json!({
        "leader": status.leader.map(show),
        "term": status.term,
        "commit": status.commit,
        "applied": status.applied,
        "revision": status.revision,
        "changing": status.changing,
        "members": members,
    })
}
