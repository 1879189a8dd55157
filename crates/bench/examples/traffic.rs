//! Prints the report of the traffic bench: `traffic [seed] [seconds] [plain]`.
//! With a third argument the simple policies are left out.

fn main() {
    let mut args = std::env::args().skip(1);
    let mut cfg = anvilloft_bench::traffic::TrafficConfig::default();
    if let Some(seed) = args.next().and_then(|a| a.parse().ok()) {
        cfg.seed = seed;
    }
    if let Some(seconds) = args.next().and_then(|a| a.parse().ok()) {
        cfg.seconds = seconds;
    }
    cfg.baselines = args.next().is_none();
    println!("{}", anvilloft_bench::traffic::run(&cfg));
}
