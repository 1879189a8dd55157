//! Evidence that tells a dead endpoint from a busy one.
//!
//! Neither a prompt without events nor the router's own decision to leave an endpoint
//! counts: with many prompts per engine, either would make each prompt that leaves a busy
//! engine evidence against it for all others there.

use anvilloft_types::prelude::*;

use super::Dispatcher;
use crate::handover::Evidence;

impl Dispatcher {
    /// Returns the evidence since `since` that an endpoint is dead, if there is any.
    pub fn suspicion(
        &self,
        now: Duration,
        endpoint: &str,
        incarnation: Incarnation,
        since: Duration,
    ) -> Option<Evidence> {
        let known = self.get_incarnation(endpoint, incarnation);
        let Some(ep) = known.filter(|ep| !ep.announcement.left) else {
            return Some(Evidence::Gone);
        };
        if ep.health.last_break.is_some_and(|at| at >= since) {
            return Some(Evidence::ConnectionFailed);
        }
        let timeout = self.cfg.announcement_timeout;
        (ep.is_overdue(now, timeout) && self.most_others_announce(now, endpoint))
            .then_some(Evidence::AnnouncementsOverdue)
    }

    /// Whether more than half of the other endpoints announce themselves in time. If not,
    /// announcements are delayed on their way, which says nothing about an endpoint.
    fn most_others_announce(&self, now: Duration, endpoint: &str) -> bool {
        let timeout = self.cfg.announcement_timeout;
        let others = || {
            self.endpoints
                .iter()
                .filter(|ep| ep.announcement.id != endpoint && !ep.is_leaving())
        };
        let in_time = others().filter(|ep| !ep.is_overdue(now, timeout)).count();
        in_time * 2 > others().count()
    }
}
