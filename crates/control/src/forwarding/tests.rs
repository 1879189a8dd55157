use std::time::Duration;

use rstest::rstest;

use super::Attempt;
use super::End;
use super::Path;
use super::Situation;
use super::Step;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

const fn path(end: End, is_responsive: bool, attempt: Attempt) -> Path {
    Path {
        end,
        is_responsive,
        attempt,
    }
}

const LEADER: Path = path(End::Leader, true, Attempt::None);
const SILENT_LEADER: Path = path(End::Leader, false, Attempt::None);
const ASKED_LEADER: Path = path(End::Leader, true, Attempt::InFlight);
const ASKED_SILENT: Path = path(End::Leader, false, Attempt::InFlight);
const FAILED_LEADER: Path = path(End::Leader, true, Attempt::Failed);
const OTHER: Path = path(End::Other, true, Attempt::None);
const ASKED_OTHER: Path = path(End::Other, true, Attempt::InFlight);
const FAILED_OTHER: Path = path(End::Other, true, Attempt::Failed);

/// Guards against calls that wait on a silent session or without a leader although
/// another path works, and against calls that are refused during a short election.
#[rstest]
#[case::leader_first(0, None, None, &[OTHER, LEADER], Step::Try(1))]
#[case::newest_session_first(0, None, None, &[LEADER, LEADER], Step::Try(0))]
#[case::responsive_session_first(0, None, None, &[SILENT_LEADER, LEADER], Step::Try(1))]
#[case::other_member_before_a_silent_session(0, None, None, &[SILENT_LEADER, OTHER], Step::Try(1))]
#[case::silent_session_alone(0, None, None, &[SILENT_LEADER], Step::Try(0))]
#[case::time_for_an_answer(150, Some(150), None, &[ASKED_SILENT, LEADER], Step::Wait(ms(50)))]
#[case::second_session(200, Some(200), None, &[ASKED_SILENT, LEADER, OTHER], Step::Try(1))]
#[case::other_member(400, Some(200), None, &[ASKED_SILENT, ASKED_SILENT, OTHER], Step::Try(2))]
#[case::slow_leader(400, Some(400), None, &[ASKED_LEADER, LEADER, OTHER], Step::Wait(ms(200)))]
#[case::slow_other_member(400, Some(200), None, &[ASKED_OTHER, OTHER], Step::Wait(ms(200)))]
#[case::new_leader(700, Some(200), None, &[ASKED_OTHER, LEADER], Step::Try(1))]
#[case::all_asked(600, Some(200), None, &[ASKED_LEADER, ASKED_OTHER], Step::Wait(ms(200)))]
#[case::not_at_once_after_a_failure(5, Some(5), None, &[FAILED_LEADER], Step::Wait(ms(15)))]
#[case::leader_again(20, Some(20), None, &[FAILED_LEADER, FAILED_OTHER], Step::Try(0))]
#[case::other_member_once(90, Some(90), None, &[FAILED_OTHER], Step::Wait(ms(20)))]
#[case::no_path_to_the_leader(500, None, None, &[], Step::Wait(ms(20)))]
#[case::election(0, None, Some(10), &[OTHER], Step::Wait(ms(20)))]
#[case::long_election(200, None, Some(210), &[OTHER], Step::Try(0))]
#[case::leaderless_call_to_another(0, None, Some(600), &[OTHER], Step::Try(0))]
#[case::leaderless(0, None, Some(600), &[], Step::Refuse)]
#[case::leaderless_and_refused(300, Some(100), Some(700), &[FAILED_OTHER], Step::Refuse)]
#[case::leaderless_but_asked(300, Some(300), Some(700), &[ASKED_OTHER], Step::Wait(ms(200)))]
#[case::election_may_still_end(590, None, Some(590), &[], Step::Wait(ms(20)))]
fn a_call_takes_the_next_path_in_time(
    #[case] elapsed: u64,
    #[case] since_attempt: Option<u64>,
    #[case] leaderless: Option<u64>,
    #[case] paths: &[Path],
    #[case] expected: Step,
) {
    let situation = Situation {
        elapsed: ms(elapsed),
        since_attempt: since_attempt.map(ms),
        leaderless: leaderless.map(ms),
        election_time: ms(600),
        paths,
        allows_further: true,
    };
    assert_eq!(situation.next_step(), expected);
}

/// Guards against a change of the group that is proposed twice at once, whose second
/// proposal is refused, and against a slow leader that gets each call several times.
#[test]
fn a_call_without_further_attempts_has_one_at_a_time() {
    let mut situation = Situation {
        elapsed: ms(900),
        since_attempt: Some(ms(900)),
        leaderless: None,
        election_time: ms(600),
        paths: &[ASKED_LEADER, LEADER],
        allows_further: false,
    };
    assert_eq!(situation.next_step(), Step::Wait(ms(200)));
    situation.paths = &[FAILED_LEADER, LEADER];
    assert_eq!(situation.next_step(), Step::Try(1));
}
