//! Prints the report of the traffic bench: `traffic [seed] [seconds] [case]`.
//! With a case (a part of its name) the simple policies are left out.

fn main() {
    let mut args = std::env::args().skip(1);
    let mut cfg = anvilloft_bench::traffic::TrafficConfig::default();
    if let Some(seed) = args.next().and_then(|a| a.parse().ok()) {
        cfg.seed = seed;
    }
    if let Some(seconds) = args.next().and_then(|a| a.parse().ok()) {
        cfg.seconds = seconds;
    }
    if let Some(only) = args.next() {
        cfg.baselines = false;
        cfg.only = only;
    }
    println!("{}", anvilloft_bench::traffic::run(&cfg));
}
