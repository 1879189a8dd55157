//! Choice of an endpoint after answers in which endpoints said that they leave, or asked
//! for a pause.

use std::time::Duration;

use anvilloft_routing::EndpointState;
use anvilloft_routing::NoRoute;
use anvilloft_routing::PredictiveSelector;
use anvilloft_routing::RouteRequest;
use anvilloft_routing::Selector;
use anvilloft_routing::SelectorConfig;
use anvilloft_types::availability::EndpointNotice;
use rand::SeedableRng;
use rand::rngs::SmallRng;

const SECOND: Duration = Duration::from_secs(1);
const LEAVING: EndpointNotice = EndpointNotice {
    leaving: true,
    pause: None,
};

fn pause(secs: u32) -> EndpointNotice {
    EndpointNotice {
        leaving: false,
        pause: Some(SECOND * secs),
    }
}

fn announce(s: &mut PredictiveSelector, now: Duration, id: &str, incarnation: u64, seq: u64) {
    let state = EndpointState {
        id: id.into(),
        incarnation,
        seq,
        service: "stock".into(),
        slots: 8,
        lease_expires: now + 3 * SECOND,
        ..EndpointState::default()
    };
    s.update(now, &state);
}

fn selector(ids: &[&str]) -> PredictiveSelector {
    let rng = SmallRng::seed_from_u64(1);
    let mut s = PredictiveSelector::new(SelectorConfig::default(), rng);
    for id in ids {
        announce(&mut s, SECOND, id, 1, 1);
    }
    s
}

const REQUEST: RouteRequest<'static> = RouteRequest {
    model: "",
    version: "",
    adapter: "",
    service: "stock",
    level: 0,
    prompt_tokens: 0,
    prefix: None,
    fingerprint: [0; 16],
    suspect: false,
    exclude: &[],
};

/// Guards against an endpoint that said in an answer that it leaves and is used again
/// after an announcement that doesn't say so.
#[test]
fn an_endpoint_that_said_it_leaves_is_forgotten_only_with_its_incarnation() {
    let mut s = selector(&["e"]);
    assert!(s.apply_notice(SECOND, "e", 1, LEAVING));
    let mut now = SECOND;
    for seq in 2..6 {
        assert_eq!(s.choose(now, &REQUEST), Err(NoRoute::NoEndpoint));
        now += SECOND;
        announce(&mut s, now, "e", 1, seq);
    }
    now += 60 * SECOND;
    // Another endpoint's announcement removes those that are gone.
    announce(&mut s, now, "f", 1, 1);
    announce(&mut s, now, "e", 1, 9);
    for _ in 0..20 {
        assert_eq!(s.choose(now, &REQUEST).unwrap().endpoint, "f");
    }
    assert_eq!(s.capacity(now, &REQUEST).endpoints, 1);
    announce(&mut s, now, "e", 2, 1);
    assert_eq!(s.capacity(now, &REQUEST).endpoints, 2);
}

/// Guards against requests to an endpoint that asked for a pause, and against a refusal
/// that doesn't say when the first pause ends.
#[test]
fn a_pausing_endpoint_gets_nothing_until_its_end() {
    let mut s = selector(&["e", "f"]);
    s.apply_notice(SECOND, "e", 1, pause(1));
    for _ in 0..20 {
        assert_eq!(s.choose(SECOND, &REQUEST).unwrap().endpoint, "f");
    }
    let tried = ["f".to_owned()];
    let again = RouteRequest {
        exclude: &tried,
        ..REQUEST
    };
    assert_eq!(s.choose(SECOND, &again), Err(NoRoute::Excluded));
    s.apply_notice(SECOND, "f", 1, pause(2));
    let Err(NoRoute::Paused(left)) = s.choose(SECOND, &REQUEST) else {
        panic!("an endpoint was chosen in its pause");
    };
    assert!(left >= SECOND && left <= SECOND + SECOND / 2, "{left:?}");
    assert_eq!(s.capacity(SECOND, &REQUEST).endpoints, 0);
    assert_eq!(s.choose(SECOND + left, &REQUEST).unwrap().endpoint, "e");
}
