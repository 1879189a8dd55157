//! Joins the control group without an operator.
//!
//! A member that is not in the group, or hears no leader, asks the members it
//! has sessions with to add it as a learner. The leader answers a member that
//! is in the group with its present state, so asking again changes nothing. A
//! member that was removed while it was cut off comes back the same way.

use std::sync::Arc;
use std::time::Duration;

use anvilloft_types::MemberId;
use anvilloft_wire::control::Answer;
use anvilloft_wire::control::GroupAction;
use anvilloft_wire::control::GroupRequest;
use slog::Logger;
use slog::info;

use crate::driver::Handle;
use crate::peers::Peers;

/// Time between two looks at the membership.
const LOOK_EVERY: Duration = Duration::from_millis(250);
/// Time without a leader after which a member asks whether it still belongs to
/// the group. Longer than an election usually takes.
const LEADERLESS: Duration = Duration::from_secs(4);
/// Longest wait for one answer.
const CALL: Duration = Duration::from_secs(1);

/// Keeps this member in the group until the control thread ends.
pub(crate) async fn stay_in_group(
    handle: Handle,
    peers: Arc<Peers>,
    member: MemberId,
    address: String,
    log: Logger,
) {
    let status = handle.status();
    let mut leaderless = Duration::ZERO;
    loop {
        tokio::time::sleep(LOOK_EVERY).await;
        if status.has_changed().is_err() {
            return;
        }
        let (known, led) = {
            let status = status.borrow();
            (
                status.membership.get(member).is_some(),
                status.leader.is_some(),
            )
        };
        leaderless = if led {
            Duration::ZERO
        } else {
            leaderless + LOOK_EVERY
        };
        if known && leaderless < LEADERLESS {
            continue;
        }
        leaderless = Duration::ZERO;
        let req = GroupRequest {
            action: GroupAction::AddLearner.into(),
            member,
            address: address.clone(),
        };
        for session in peers.member_sessions() {
            let reply = session.call(req.clone().into(), CALL, 0).await;
            if let Ok(reply) = reply
                && let Some(Answer::Applied(_)) = reply.answer
            {
                info!(log, "asked to join the group"; "through" => &session.peer().node);
                break;
            }
        }
    }
}
