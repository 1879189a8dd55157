//! Prints the report of the configuration lease simulation: `lease [seed]`.

fn main() {
    let mut cfg = anvilloft_bench::lease::LeaseConfig::default();
    if let Some(seed) = std::env::args().nth(1).and_then(|a| a.parse().ok()) {
        cfg.seed = seed;
    }
    println!("{}", anvilloft_bench::lease::run(&cfg));
}
