//! Decisions about the members of the group.

use anvilloft_consensus::MemberChange;
use anvilloft_types::prelude::*;
use rstest::rstest;

use super::super::member_plan::MemberView;
use super::super::member_plan::PlanConfig;

const CONFIG: PlanConfig = PlanConfig {
    members_rejoin: true,
    first_reply_timeout: Duration::from_millis(1_400),
};
/// Members that don't join again by themselves.
const MANUAL: PlanConfig = PlanConfig {
    members_rejoin: false,
    ..CONFIG
};

const fn voter(id: MemberId, silent_ms: u64) -> MemberView<'static> {
    MemberView {
        id,
        address: "",
        voter: true,
        is_caught_up: silent_ms == 0,
        silent_for: Duration::from_millis(silent_ms),
        has_replied: true,
    }
}

/// A voter that hasn't replied to this leader.
const fn unheard(id: MemberId, silent_ms: u64) -> MemberView<'static> {
    MemberView {
        has_replied: false,
        ..voter(id, silent_ms)
    }
}

const fn learner(id: MemberId, is_caught_up: bool) -> MemberView<'static> {
    MemberView {
        voter: false,
        is_caught_up,
        ..voter(id, 0)
    }
}

const fn gone_learner(id: MemberId) -> MemberView<'static> {
    MemberView {
        voter: false,
        ..voter(id, 12_000)
    }
}

const fn at(address: &'static str, m: MemberView<'static>) -> MemberView<'static> {
    MemberView { address, ..m }
}

struct Case {
    config: PlanConfig,
    members: Vec<MemberView<'static>>,
    change: Option<MemberChange>,
}

/// Guards against dead voters that pile up until the group has no majority, against
/// removing voters that are needed, and against learners that wait for nothing.
#[rstest]
#[case::all_are_well(Case {
    config: CONFIG,
    members: (1..=5).map(|id| voter(id, 0)).collect(),
    change: None,
})]
#[case::a_learner_is_promoted(Case {
    config: CONFIG,
    members: vec![voter(1, 0), voter(2, 0), voter(3, 500), learner(4, true)],
    change: Some(MemberChange::Promote(4)),
})]
#[case::a_learner_that_lags_is_not_promoted(Case {
    config: CONFIG,
    members: vec![voter(1, 0), voter(2, 0), voter(3, 0), learner(4, false)],
    change: None,
})]
#[case::a_silent_voter_is_removed_before_a_promotion(Case {
    config: CONFIG,
    members: vec![voter(1, 0), voter(2, 3_000), voter(3, 4_000), voter(4, 0), voter(5, 0),
        learner(6, true)],
    change: Some(MemberChange::Remove(3)),
})]
#[case::a_voter_unheard_since_the_election_is_silent_soon(Case {
    config: CONFIG,
    members: vec![voter(1, 0), unheard(2, 1_400), voter(3, 1_500), voter(4, 0), voter(5, 0),
        learner(6, true)],
    change: Some(MemberChange::Remove(2)),
})]
#[case::a_successor_was_promoted_before_the_dead_voter_was_silent(Case {
    config: CONFIG,
    members: vec![voter(1, 0), unheard(2, 1_400), voter(3, 0), voter(4, 0), voter(5, 0),
        voter(6, 0)],
    change: Some(MemberChange::Remove(2)),
})]
#[case::two_successors_were_promoted_before_the_dead_voters_were_silent(Case {
    config: CONFIG,
    members: vec![voter(1, 0), voter(2, 3_000), voter(3, 3_100), voter(4, 0), voter(5, 0),
        voter(6, 0), voter(7, 0)],
    change: Some(MemberChange::Remove(3)),
})]
#[case::two_silent_voters_of_five_may_return(Case {
    config: CONFIG,
    members: vec![voter(1, 0), voter(2, 60_000), voter(3, 60_000), voter(4, 0), voter(5, 0)],
    change: None,
})]
#[case::a_silent_voter_of_five_may_return(Case {
    config: CONFIG,
    members: vec![voter(1, 0), voter(2, 60_000), voter(3, 0), voter(4, 0), voter(5, 0)],
    change: None,
})]
#[case::members_that_do_not_rejoin_have_more_time(Case {
    config: MANUAL,
    members: vec![voter(1, 0), voter(2, 11_900), voter(3, 0), voter(4, 0)],
    change: None,
})]
#[case::members_that_do_not_rejoin_are_removed_from_an_even_group(Case {
    config: MANUAL,
    members: vec![voter(1, 0), voter(2, 12_000), voter(3, 0), voter(4, 0)],
    change: Some(MemberChange::Remove(2)),
})]
#[case::a_member_that_does_not_rejoin_is_kept_at_first(Case {
    config: MANUAL,
    members: vec![voter(1, 0), unheard(2, 2_900), voter(3, 0), learner(4, true)],
    change: Some(MemberChange::Promote(4)),
})]
#[case::a_wiped_host_takes_over_its_address(Case {
    config: CONFIG,
    members: vec![at("a", voter(1, 5_000)), at("b", voter(2, 3_000)), voter(3, 0), voter(4, 0),
        voter(5, 0), at("b", learner(6, true))],
    change: Some(MemberChange::Remove(2)),
})]
#[case::a_wiped_host_need_not_wait_until_its_old_id_is_silent(Case {
    config: CONFIG,
    members: vec![at("a", voter(1, 0)), at("b", voter(2, 1_000)), voter(3, 0), voter(4, 0),
        voter(5, 0), at("b", learner(6, true))],
    change: Some(MemberChange::Promote(6)),
})]
#[case::two_live_members_at_one_address_are_both_kept(Case {
    config: CONFIG,
    members: vec![voter(1, 0), at("b", voter(2, 0)), at("b", voter(3, 0))],
    change: None,
})]
#[case::a_frozen_learner_is_not_removed_for_a_dead_voter_at_its_address(Case {
    config: CONFIG,
    members: vec![voter(1, 0), at("b", voter(2, 9_000)), voter(3, 0),
        at("b", MemberView { voter: false, ..voter(4, 3_000) })],
    change: None,
})]
#[case::a_learner_that_is_gone_is_removed(Case {
    config: CONFIG,
    members: vec![voter(1, 0), voter(2, 0), voter(3, 0), gone_learner(4)],
    change: Some(MemberChange::Remove(4)),
})]
#[case::a_learner_that_does_not_rejoin_is_kept(Case {
    config: MANUAL,
    members: vec![voter(1, 0), voter(2, 0), voter(3, 0), gone_learner(4)],
    change: None,
})]
fn dead_voters_make_place_and_others_stay(#[case] case: Case) {
    assert_eq!(case.config.next_change(&case.members), case.change);
}
