//! The control daemon `anvilloft-control`.

use std::path::Path;
use std::process::ExitCode;

use anvilloft_control::ControlDaemon;
use anvilloft_settings::ControlSettings;
use anvilloft_telemetry::LogOptions;
use anvilloft_telemetry::Metrics;
use clap::Arg;
use clap::Command;
use slog::error;
use slog::info;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

const HELP: &str = "\
Exit codes: 0 stopped by SIGTERM or SIGINT, 1 failed, 2 wrong arguments or settings.";

fn main() -> ExitCode {
    let matches = Command::new("anvilloft-control")
        .version(clap::crate_version!())
        .about("Runs one member of the control group")
        .after_help(HELP)
        .arg(
            Arg::new("settings")
                .long("settings")
                .value_name("FILE")
                .required(true)
                .help("Settings file; `anvilloft settings control` prints the defaults"),
        )
        .get_matches();
    let file = matches
        .get_one::<String>("settings")
        .map_or("", String::as_str);
    let settings = match ControlSettings::load(Path::new(file)) {
        Ok(settings) => settings,
        Err(err) => {
            eprintln!("{err}");
            return ExitCode::from(2);
        }
    };
    match run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("{err}");
            ExitCode::FAILURE
        }
    }
}

fn run(settings: ControlSettings) -> Result<(), Box<dyn std::error::Error>> {
    let metrics = Metrics::new()?;
    let dropped = metrics.counter("log_dropped_total", "Log lines dropped.")?;
    let options = LogOptions {
        level: settings.log_level,
        format: settings.log_format,
        queue_lines: usize::try_from(settings.log_queue)?,
    };
    let (log, _guard) = anvilloft_telemetry::start_logger(options, dropped);
    // Consensus runs on its own thread; these two serve sessions and HTTP.
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()?;
    runtime.block_on(async {
        let mut terminate = signal(SignalKind::terminate())?;
        let mut interrupt = signal(SignalKind::interrupt())?;
        let daemon = ControlDaemon::start(settings, metrics, log.clone()).await?;
        tokio::select! {
            _ = terminate.recv() => info!(log, "stopping on SIGTERM"),
            _ = interrupt.recv() => info!(log, "stopping on SIGINT"),
            reason = daemon.wait_for_failure() => error!(log, "the control thread failed"; "reason" => reason),
        }
        daemon.stop().await?;
        Ok(())
    })
}
