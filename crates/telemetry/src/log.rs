//! Asynchronous logging through slog.

use std::io;
use std::panic::AssertUnwindSafe;
use std::panic::catch_unwind;

use anvilloft_settings::LogFormat;
use anvilloft_settings::LogLevel;
use prometheus::IntCounter;
use slog::Drain;
use slog::Level;
use slog::Logger;
use slog::Never;
use slog::OwnedKVList;
use slog::Record;
use slog_async::AsyncCore;
use slog_async::AsyncGuard;

/// Options of the log.
#[derive(Clone, Copy, Debug)]
pub struct LogOptions {
    /// Lowest level that is written.
    pub level: LogLevel,
    /// Format of a line.
    pub format: LogFormat,
    /// Maximum number of lines that wait to be written. Further lines are dropped.
    pub queue_lines: usize,
}

/// Writes the queued lines when dropped.
pub struct LogGuard {
    _guard: AsyncGuard,
}

/// Queues lines for the writer thread. Lines logged while the queue is full are
/// dropped and counted, because logging must never block traffic.
struct CountingDrain {
    core: AsyncCore,
    level: Level,
    dropped: IntCounter,
}

impl Drain for CountingDrain {
    type Ok = ();
    type Err = Never;

    fn log(&self, record: &Record<'_>, values: &OwnedKVList) -> Result<(), Never> {
        if record.level().is_at_least(self.level) && self.core.log(record, values).is_err() {
            self.dropped.inc();
        }
        Ok(())
    }

    fn is_enabled(&self, level: Level) -> bool {
        level.is_at_least(self.level)
    }
}

/// Starts logging to standard error. `dropped` counts lines dropped because the
/// queue was full.
pub fn start_logger(options: LogOptions, dropped: IntCounter) -> (Logger, LogGuard) {
    start_logger_to(options, dropped, io::stderr())
}

/// Starts logging to `out`. `dropped` counts lines dropped because the queue
/// was full.
pub fn start_logger_to<W>(options: LogOptions, dropped: IntCounter, out: W) -> (Logger, LogGuard)
where
    W: io::Write + Send + 'static,
{
    match options.format {
        LogFormat::Json => {
            let drain = slog_json::Json::new(out).add_default_keys().build();
            build_logger(options, dropped, std::sync::Mutex::new(drain))
        }
        LogFormat::Terminal => {
            let decorator = slog_term::PlainSyncDecorator::new(out);
            let drain = slog_term::FullFormat::new(decorator)
                .use_utc_timestamp()
                .build();
            build_logger(options, dropped, drain)
        }
    }
}

fn build_logger<D>(options: LogOptions, dropped: IntCounter, drain: D) -> (Logger, LogGuard)
where
    D: Drain + Send + 'static,
{
    let drain = InfallibleDrain(drain);
    let (core, guard) = AsyncCore::custom(drain)
        .chan_size(options.queue_lines)
        .blocking(false)
        .thread_name("log".to_owned())
        .build_with_guard();
    let level = match options.level {
        LogLevel::Error => Level::Error,
        LogLevel::Warning => Level::Warning,
        LogLevel::Info => Level::Info,
        LogLevel::Debug => Level::Debug,
    };
    let drain = CountingDrain {
        core,
        level,
        dropped,
    };
    (Logger::root(drain, slog::o!()), LogGuard { _guard: guard })
}

/// Drops lines that can't be written, for example to a full disk. Also catches
/// panics, as one in a `Display` implementation must not end the writer thread.
struct InfallibleDrain<D>(D);

impl<D: Drain> Drain for InfallibleDrain<D> {
    type Ok = ();
    type Err = Never;

    fn log(&self, record: &Record<'_>, values: &OwnedKVList) -> Result<(), Never> {
        let _ = catch_unwind(AssertUnwindSafe(|| self.0.log(record, values).is_ok()));
        Ok(())
    }
}
