//! Tokens of many small teams while all routers are cut off from control.

use std::time::Duration;

use anvilloft_bench::reserves::Holding;
use anvilloft_bench::reserves::ReservesConfig;
use anvilloft_bench::reserves::play;

fn config(routers: usize, seed: u64) -> ReservesConfig {
    ReservesConfig {
        seed,
        routers,
        teams: 40,
        rate: 2.0,
        contact: Duration::from_secs(5),
        partition: Duration::from_secs(8),
        paid_in: Duration::from_secs(60),
    }
}

/// Plays the load of a fleet that has served for a few seconds when control is lost.
///
/// Guards against a fleet whose callers are refused in a partition the more, the more
/// routers share the same work, although all of them together hold enough tokens.
#[test]
fn holders_serve_a_partition_at_every_number_of_routers() {
    for routers in [19, 191, 350] {
        for seed in 1..=2 {
            let cfg = config(routers, seed);
            let own = play(cfg, Holding::Own);
            let held = play(cfg, Holding::Holders);
            println!("{routers} routers, seed {seed}: own {own:?}");
            println!("{routers} routers, seed {seed}: held {held:?}");
            let share = held.served_share();
            assert!(share > 0.8, "{routers} routers: {share}");
            assert!(share + 0.02 > own.served_share(), "{routers} routers");
            assert!(held.waited <= own.waited, "{routers} routers");
        }
    }
}
