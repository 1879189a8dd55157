//! Prints the report of the traffic simulation: `traffic [seed] [seconds] [case]`.
//!
//! With a case, only the cases whose names contain it run, and the baseline
//! policies are left out.

fn main() {
    let mut args = std::env::args().skip(1);
    let mut cfg = anvilloft_bench::traffic::TrafficConfig::default();
    if let Some(seed) = args.next().and_then(|a| a.parse().ok()) {
        cfg.seed = seed;
    }
    if let Some(seconds) = args.next().and_then(|a| a.parse().ok()) {
        cfg.seconds = seconds;
    }
    if let Some(case_filter) = args.next() {
        cfg.baselines = false;
        cfg.case_filter = case_filter;
    }
    println!("{}", anvilloft_bench::traffic::run(&cfg));
}
