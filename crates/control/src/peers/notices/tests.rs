use anvilloft_types::MemberId;
use rstest::rstest;

use super::is_majority;

/// Guards against notices that are acknowledged while only members hold them that the
/// group may lose together.
#[rstest]
#[case::no_group(&[], &[1], false)]
#[case::alone(&[1], &[1], true)]
#[case::one_of_two(&[1, 2], &[1], false)]
#[case::two_of_three(&[1, 2, 3], &[1, 3], true)]
#[case::two_of_five(&[1, 2, 3, 4, 5], &[1, 2], false)]
#[case::three_of_five(&[1, 2, 3, 4, 5], &[5, 1, 2], true)]
#[case::learners_do_not_count(&[1, 2, 3], &[1, 7, 8], false)]
fn a_notice_needs_copies_at_a_majority(
    #[case] voters: &[MemberId],
    #[case] holders: &[MemberId],
    #[case] expected: bool,
) {
    assert_eq!(is_majority(voters, holders), expected);
}
