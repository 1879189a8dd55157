//! Routers that hold tokens for the others of their data centre.

use anvilloft_directory::TokenHolders;
use anvilloft_wire::command::OpenIncarnation;
use anvilloft_wire::command::RouterState;

fn router(n: usize, data_centre: &str, state: RouterState) -> OpenIncarnation {
    OpenIncarnation {
        router: format!("{data_centre}-{n}"),
        incarnation: 1,
        caller_address: String::new(),
        peer_address: format!("127.0.0.1:{n}"),
        data_centre: data_centre.into(),
        state: state.into(),
    }
}

fn fleet(count: usize) -> Vec<OpenIncarnation> {
    let centres = ["a", "b"];
    let all = (0..count).flat_map(|n| centres.map(|dc| router(n, dc, RouterState::Alive)));
    all.collect()
}

/// Guards against holders in another data centre, too many of them, or budgets that all
/// have the same one.
#[test]
fn a_few_routers_of_the_data_centre_share_the_budgets() {
    let holders = TokenHolders::choose(&fleet(40), &[], "a");
    let mut counts: Vec<(String, usize)> = Vec::new();
    for n in 0..400 {
        let budget = format!("b{n}");
        let names = holders.of(&budget);
        assert_eq!(names.len(), 4);
        assert!(names.iter().all(|name| name.starts_with("a-")));
        match counts.iter_mut().find(|(name, _)| name == names[0]) {
            Some((_, count)) => *count += 1,
            None => counts.push((names[0].to_owned(), 1)),
        }
    }
    assert_eq!(counts.len(), 4);
    assert!(
        counts.iter().all(|(_, c)| (50..200).contains(c)),
        "{counts:?}"
    );
}

/// Guards against a holder that is dead, stops or is silent, and against a change that
/// moves budgets whose holder stays.
#[test]
fn a_lost_holder_is_replaced_and_the_others_keep_their_budgets() {
    let all = fleet(10);
    let before = TokenHolders::choose(&all, &[], "a");
    let lost = before.of("b0")[0].to_owned();
    let with_state = |state: RouterState| {
        let mut list = all.clone();
        let found = list.iter_mut().find(|r| r.router == lost).unwrap();
        found.state = state.into();
        TokenHolders::choose(&list, &[], "a")
    };
    for after in [
        with_state(RouterState::Draining),
        with_state(RouterState::Lost),
        TokenHolders::choose(&all, std::slice::from_ref(&lost), "a"),
    ] {
        for n in 0..200 {
            let budget = format!("b{n}");
            let (old, new) = (before.of(&budget)[0], after.of(&budget)[0]);
            assert_ne!(new, lost);
            // The new holder takes a part of each one's budgets.
            assert!(old == new || old == lost || !before.of(&budget).contains(&new));
        }
    }
}

/// Guards against routers without a session with a holder, and against two sessions
/// between the same holders.
#[test]
fn every_router_has_one_session_with_each_holder() {
    let holders = TokenHolders::choose(&fleet(10), &[], "a");
    let names = holders.of("b");
    let other = (0..10)
        .map(|n| format!("a-{n}"))
        .find(|n| !names.contains(&n.as_str()));
    assert_eq!(holders.to_dial(&other.unwrap()).len(), 4);
    let dialled: usize = names.iter().map(|name| holders.to_dial(name).len()).sum();
    assert_eq!(dialled, 6);
}

/// Guards against a data centre without routers.
#[test]
fn a_data_centre_without_routers_has_no_holders() {
    let holders = TokenHolders::choose(&fleet(3), &[], "c");
    assert!(holders.of("b").is_empty() && holders.to_dial("x").is_empty());
}
