//! `anvilloft bench`: runs the benchmarks and prints their reports.

use std::path::PathBuf;
use std::time::Duration;

use anvilloft_bench::budgets;
use anvilloft_bench::budgets::StudyConfig;
use anvilloft_bench::commits;
use anvilloft_bench::commits::CommitsConfig;
use anvilloft_bench::lease;
use anvilloft_bench::lease::LeaseConfig;
use anvilloft_bench::load;
use anvilloft_bench::load::LoadOptions;
use anvilloft_bench::traffic;
use anvilloft_bench::traffic::TrafficConfig;
use clap::Arg;
use clap::ArgAction;
use clap::ArgMatches;
use clap::Command;
use serde_json::Value;
use serde_json::json;

use crate::error::CliError;
use crate::output::write;

/// Options of the benchmarks.
struct Options {
    seed: Option<u64>,
    folder: Option<PathBuf>,
}

/// Report of one benchmark.
struct BenchReport {
    text: String,
    json: Value,
    /// Number of metrics outside their bounds.
    missed_bounds: usize,
}

/// Name and entry point of a benchmark.
struct Bench {
    name: &'static str,
    run: fn(&Options) -> Result<BenchReport, CliError>,
}

/// Numbers of budgets for which `slopes` measures; the last is the target size.
const SLOPE_BUDGET_COUNTS: [usize; 4] = [1_000, 10_000, 100_000, 740_000];
/// Duration of each measurement of `slopes`.
const SLOPE_DURATION: Duration = Duration::from_secs(1);

/// All benchmarks, in the order in which they run. `slopes` comes first: it
/// compares the resident size of the process, which the others change.
const BENCHES: &[Bench] = &[
    Bench {
        name: "slopes",
        run: run_slopes,
    },
    Bench {
        name: "budgets",
        run: run_budgets,
    },
    Bench {
        name: "traffic",
        run: run_traffic,
    },
    Bench {
        name: "lease",
        run: run_lease,
    },
    Bench {
        name: "commits",
        run: run_commits,
    },
    Bench {
        name: "load",
        run: run_load,
    },
];

/// Returns the command-line definition.
pub(crate) fn command() -> Command {
    Command::new("bench")
        .about("Runs the benchmarks and prints their reports; exits with 1 when a metric is outside its bounds")
        .arg(
            Arg::new("name")
                .value_name("NAME")
                .action(ArgAction::Append)
                .value_parser(["slopes", "budgets", "traffic", "lease", "commits", "load"])
                .help("Benchmarks to run [default: all]"),
        )
        .arg(
            Arg::new("seed")
                .long("seed")
                .value_name("NUMBER")
                .value_parser(clap::value_parser!(u64))
                .help("Seed of the random choices [default: fixed for each benchmark]"),
        )
        .arg(
            Arg::new("folder")
                .long("folder")
                .value_name("FOLDER")
                .help("Folder on the disk that `commits` measures [default: the temporary folder]"),
        )
        .arg(
            Arg::new("json")
                .long("json")
                .action(ArgAction::SetTrue)
                .help("Prints JSON"),
        )
}

/// Runs the subcommand.
pub(crate) fn run(args: &ArgMatches) -> Result<(), CliError> {
    let options = Options {
        seed: args.get_one("seed").copied(),
        folder: args.get_one::<String>("folder").map(PathBuf::from),
    };
    let names: Vec<&String> = args.get_many("name").unwrap_or_default().collect();
    let mut reports = json!({});
    let mut missed_bounds = 0;
    for bench in BENCHES {
        if !names.is_empty() && !names.iter().any(|name| *name == bench.name) {
            continue;
        }
        let report = (bench.run)(&options)?;
        missed_bounds += report.missed_bounds;
        if args.get_flag("json") {
            reports[bench.name] = report.json;
        } else {
            write(&format!("== {}\n{}\n", bench.name, report.text));
        }
    }
    if args.get_flag("json") {
        write(&format!("{reports}\n"));
    }
    match missed_bounds {
        0 => Ok(()),
        n => Err(CliError::Problems(format!(
            "{n} metrics are outside their bounds"
        ))),
    }
}

fn to_json(report: &impl serde::Serialize) -> Result<Value, CliError> {
    serde_json::to_value(report).map_err(|err| CliError::Problems(err.to_string()))
}

/// Formats each row as a line.
fn format_lines(rows: &[impl std::fmt::Display]) -> String {
    rows.iter().map(|row| format!("{row}\n")).collect()
}

fn run_slopes(_options: &Options) -> Result<BenchReport, CliError> {
    let rows = budgets::slopes(&SLOPE_BUDGET_COUNTS, SLOPE_DURATION);
    Ok(BenchReport {
        text: format_lines(&rows),
        json: to_json(&rows)?,
        missed_bounds: 0,
    })
}

fn run_budgets(options: &Options) -> Result<BenchReport, CliError> {
    let mut cfg = StudyConfig::default();
    cfg.seed = options.seed.unwrap_or(cfg.seed);
    let rows = budgets::study(&cfg);
    Ok(BenchReport {
        text: format_lines(&rows),
        json: to_json(&rows)?,
        missed_bounds: 0,
    })
}

fn run_traffic(options: &Options) -> Result<BenchReport, CliError> {
    let mut cfg = TrafficConfig::default();
    cfg.seed = options.seed.unwrap_or(cfg.seed);
    let report = traffic::run(&cfg);
    Ok(BenchReport {
        text: report.to_string(),
        json: to_json(&report)?,
        missed_bounds: report.misses().len(),
    })
}

fn run_lease(options: &Options) -> Result<BenchReport, CliError> {
    let mut cfg = LeaseConfig::default();
    cfg.seed = options.seed.unwrap_or(cfg.seed);
    let report = lease::run(&cfg);
    Ok(BenchReport {
        text: report.to_string(),
        json: to_json(&report)?,
        missed_bounds: 0,
    })
}

fn run_commits(options: &Options) -> Result<BenchReport, CliError> {
    let mut cfg = CommitsConfig::default();
    if let Some(folder) = &options.folder {
        cfg.folder.clone_from(folder);
    }
    let rows = commits::run(&cfg).map_err(|err| CliError::Problems(err.to_string()))?;
    let to_line =
        |f: &commits::CommitMetric| format!("{:<56} {:>12.3} {}\n", f.name, f.value, f.unit);
    let to_row =
        |f: &commits::CommitMetric| json!({ "name": f.name, "value": f.value, "unit": f.unit });
    Ok(BenchReport {
        text: rows.iter().map(to_line).collect(),
        json: rows.iter().map(to_row).collect(),
        missed_bounds: 0,
    })
}

fn run_load(_options: &Options) -> Result<BenchReport, CliError> {
    let report =
        load::run(&LoadOptions::default()).map_err(|err| CliError::Problems(err.to_string()))?;
    let latency_json =
        |l: &load::Latency| json!({ "p50_s": l.p50.as_secs_f64(), "p99_s": l.p99.as_secs_f64() });
    let rate_json = |r: &load::Rate| json!({ "per_s": r.per_s, "per_core_s": r.per_core_s });
    let json = json!({
        "direct": latency_json(&report.direct),
        "routed": latency_json(&report.routed),
        "direct_requests": rate_json(&report.direct_requests),
        "routed_requests": rate_json(&report.routed_requests),
        "direct_tokens": rate_json(&report.direct_tokens),
        "routed_tokens": rate_json(&report.routed_tokens),
        "rest_kib": report.rest_kib,
        "streams_kib": report.streams_kib,
        "open_streams": report.open_streams,
        "failed": report.failed,
    });
    Ok(BenchReport {
        text: report.to_string(),
        json,
        missed_bounds: 0,
    })
}
