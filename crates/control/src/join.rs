//! Joins the control group without an operator.
//!
//! A member that is not in the group, or knows no leader, asks the members it
//! has sessions with to add it as a learner. The request is idempotent: for a
//! member that is in the group already, nothing changes. A member that was
//! removed while it was partitioned rejoins the same way.

use std::sync::Arc;
use std::time::Duration;

use anvilloft_types::MemberId;
use anvilloft_wire::control::Answer;
use anvilloft_wire::control::GroupAction;
use anvilloft_wire::control::GroupRequest;
use anvilloft_wire::session::Session;
use slog::Logger;
use slog::info;
use tokio::task::JoinSet;
use tokio::time::timeout;

use crate::driver::Handle;
use crate::peers::Peers;

/// Interval between checks of the membership.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Time without a leader after which a member asks to be added again, as it may
/// have been removed. Longer than an election usually takes.
const LEADERLESS_TIMEOUT: Duration = Duration::from_secs(4);
/// Timeout of one call to another member.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after which the next member is asked besides one that hasn't answered.
const ASK_INTERVAL: Duration = Duration::from_millis(200);

/// Keeps this member in the group until the control thread ends.
pub(crate) async fn stay_in_group(
    handle: Handle,
    peers: Arc<Peers>,
    member: MemberId,
    address: String,
    log: Logger,
) {
    let status = handle.status();
    let mut time_without_leader = Duration::ZERO;
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        if status.has_changed().is_err() {
            return;
        }
        let (is_member, has_leader) = {
            let status = status.borrow();
            (
                status.membership.get(member).is_some(),
                status.leader.is_some(),
            )
        };
        time_without_leader = if has_leader {
            Duration::ZERO
        } else {
            time_without_leader + CHECK_INTERVAL
        };
        if is_member && time_without_leader < LEADERLESS_TIMEOUT {
            continue;
        }
        time_without_leader = Duration::ZERO;
        let req = GroupRequest {
            action: GroupAction::AddLearner.into(),
            member,
            address: address.clone(),
        };
        if let Some(through) = ask_to_join(peers.member_sessions(), &req).await {
            info!(log, "asked to join the group"; "through" => through);
        }
    }
}

/// Asks one member after another to add this one, the next as soon as one refuses or
/// [`ASK_INTERVAL`] after the one before. Returns the name of the member through which
/// this one was added.
async fn ask_to_join(sessions: Vec<Arc<Session>>, req: &GroupRequest) -> Option<String> {
    let mut calls = JoinSet::new();
    for session in sessions {
        let req = req.clone();
        calls.spawn(async move {
            let reply = session.call(req.into(), CALL_TIMEOUT, 0).await.ok()?;
            let is_added = matches!(reply.answer, Some(Answer::Applied(_)));
            is_added.then(|| session.peer().node.clone())
        });
        // A call that isn't answered yet goes on besides the next one.
        if let Ok(Some(Ok(Some(through)))) = timeout(ASK_INTERVAL, calls.join_next()).await {
            return Some(through);
        }
    }
    while let Some(call) = calls.join_next().await {
        if let Ok(Some(through)) = call {
            return Some(through);
        }
    }
    None
}
