//! Prints latency and throughput of requests through a router and of direct
//! requests.
//!
//! `cargo run --release -p anvilloft-bench --example load [burst]`

use std::process::ExitCode;

use anvilloft_bench::load;

fn main() -> ExitCode {
    let burst = std::env::args().nth(1).and_then(|a| a.parse().ok());
    let options = load::LoadOptions {
        burst: burst.unwrap_or(1),
        ..load::LoadOptions::default()
    };
    match load::run(&options) {
        Ok(report) => {
            println!("{report}");
            ExitCode::SUCCESS
        }
        Err(e) => {
            eprintln!("load: {e}");
            ExitCode::FAILURE
        }
    }
}
