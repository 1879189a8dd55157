//! Copies of leave notices at other members, so that an acknowledged notice outlives the
//! member that received it.

use std::sync::atomic::Ordering;
use std::time::Duration;

use anvilloft_types::MemberId;
use anvilloft_wire::ControlReply;
use anvilloft_wire::control::Answer;
use anvilloft_wire::frame::EndpointUpdate;
use anvilloft_wire::session::HOPS_BY_CONTROL;
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use tokio::time::Instant;
use tokio::time::timeout_at;

use super::Peers;
use super::unavailable;
use crate::driver::ok_reply;
use crate::forwarding::RETRY_DELAY;
use crate::registry::AnnounceOutcome;

#[cfg(test)]
mod tests;

/// Timeout of one attempt to copy a notice, after which another session is tried.
const COPY_TIMEOUT: Duration = Duration::from_millis(200);

/// Returns whether more than half of the voters hold a copy. A group that lives on
/// without the others has such a holder.
fn is_majority(voters: &[MemberId], holders: &[MemberId]) -> bool {
    let count = voters.iter().filter(|v| holders.contains(v)).count();
    count > voters.len() / 2
}

impl Peers {
    /// Copies the notice that an endpoint leaves, if it has given one, to the other
    /// members. Returns whether a majority of the group holds it before `limit` has passed.
    pub async fn replicate_notice(&self, id: &str, limit: Duration) -> bool {
        let Some(notice) = self.registry.unreplicated_notice(self.clock.now(), id) else {
            return true;
        };
        let Some(handle) = self.handle.get() else {
            return false;
        };
        let deadline = Instant::now() + limit;
        let own = self.identity.member;
        let (members, voters) = {
            let status = handle.status();
            let membership = &status.borrow().membership;
            let members: Vec<MemberId> = membership.members.iter().map(|m| m.id).collect();
            let voters: Vec<MemberId> = membership.voters().collect();
            (members, voters)
        };
        let others = members.into_iter().filter(|member| *member != own);
        let mut copies: FuturesUnordered<_> = others
            .map(|member| self.copy_to(member, &notice, deadline))
            .collect();
        let mut holders = vec![own];
        while !is_majority(&voters, &holders) {
            match timeout_at(deadline, copies.next()).await {
                Ok(Some(holder)) => holders.extend(holder),
                Ok(None) | Err(_) => return false,
            }
        }
        self.registry.set_replicated(&notice);
        true
    }

    /// Sends a notice to a member until it confirms. Returns the member if it does.
    async fn copy_to(
        &self,
        member: MemberId,
        notice: &EndpointUpdate,
        deadline: Instant,
    ) -> Option<MemberId> {
        loop {
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return None;
            }
            if let Some(session) = self.member_session(member) {
                let limit = left.min(COPY_TIMEOUT);
                let reply = session.call(notice.clone().into(), limit, HOPS_BY_CONTROL);
                // A member that refuses the copy would refuse it again.
                if let Ok(reply) = reply.await {
                    return matches!(reply.answer, Some(Answer::Applied(_))).then_some(member);
                }
            }
            tokio::time::sleep(left.min(RETRY_DELAY)).await;
        }
    }

    /// Takes a copy of a notice from another member.
    pub(super) fn take_copy(&self, notice: EndpointUpdate) -> ControlReply {
        if self.draining.load(Ordering::Relaxed) {
            return unavailable("the member is stopping");
        }
        match self.announce(notice) {
            AnnounceOutcome::Full => unavailable("too many endpoints"),
            AnnounceOutcome::Conflicting => unavailable("the endpoint has announced otherwise"),
            _ => Answer::Applied(ok_reply()).into(),
        }
    }
}
