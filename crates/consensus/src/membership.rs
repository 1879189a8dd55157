//! Computes majorities of a membership and applies changes to it.

use anvilloft_types::prelude::*;

use crate::error::ProposeError;
use crate::message::Member;
use crate::message::Membership;
use crate::types::MemberChange;

impl Membership {
    /// Returns the member with this id.
    pub fn get(&self, id: MemberId) -> Option<&Member> {
        self.members
            .binary_search_by_key(&id, |m| m.id)
            .ok()
            .and_then(|i| self.members.get(i))
    }

    /// Returns whether this member votes and counts towards a majority.
    pub fn is_voter(&self, id: MemberId) -> bool {
        self.get(id).is_some_and(|m| m.voter)
    }

    /// Returns the ids of all voters.
    pub fn voters(&self) -> impl Iterator<Item = MemberId> + '_ {
        self.members.iter().filter(|m| m.voter).map(|m| m.id)
    }

    /// Returns the highest value that a majority of voters has reached, or
    /// `None` if there are no voters. Learners never count.
    pub(crate) fn majority_value<T: Ord + Copy>(
        &self,
        value_of: impl Fn(MemberId) -> T,
    ) -> Option<T> {
        let mut values: Vec<T> = self.voters().map(value_of).collect();
        values.sort_unstable_by(|a, b| b.cmp(a));
        values.get(values.len() / 2).copied()
    }

    /// Returns a copy of the membership with one member changed.
    pub(crate) fn with_change(&self, change: &MemberChange) -> Result<Self, ProposeError> {
        let mut next = self.clone();
        match change {
            MemberChange::AddLearner { id, address } => {
                let Err(pos) = next.members.binary_search_by_key(id, |m| m.id) else {
                    return Err(ProposeError::InvalidChange("already a member"));
                };
                if *id == 0 {
                    return Err(ProposeError::InvalidChange("the id 0 is reserved"));
                }
                next.members.insert(
                    pos,
                    Member {
                        id: *id,
                        address: address.clone(),
                        voter: false,
                    },
                );
            }
            MemberChange::Promote(id) => match next.members.iter_mut().find(|m| m.id == *id) {
                Some(m) if !m.voter => m.voter = true,
                Some(_) => return Err(ProposeError::InvalidChange("already a voter")),
                None => return Err(ProposeError::InvalidChange("not a member")),
            },
            MemberChange::Remove(id) => {
                let before = next.members.len();
                next.members.retain(|m| m.id != *id);
                if next.members.len() == before {
                    return Err(ProposeError::InvalidChange("not a member"));
                }
                if next.voters().next().is_none() {
                    return Err(ProposeError::InvalidChange("the last voter must stay"));
                }
            }
        }
        Ok(next)
    }
}
