//! Guards against logging that blocks or loses lines without counting them,
//! lines below the set level, and metrics without the prefix.

#![expect(clippy::unwrap_used, reason = "a failed set-up fails the test")]

use std::io;
use std::io::Write;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::mpsc;

use anvilloft_settings::LogFormat;
use anvilloft_settings::LogLevel;
use anvilloft_settings::Secret;
use anvilloft_telemetry::LogOptions;
use anvilloft_telemetry::Metrics;
use anvilloft_telemetry::decision;
use anvilloft_telemetry::start_logger_to;

#[derive(Clone, Default)]
struct Shared(Arc<Mutex<Vec<u8>>>);

impl Write for Shared {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap().extend_from_slice(buf);
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn options(queue_lines: usize) -> LogOptions {
    LogOptions {
        level: LogLevel::Info,
        format: LogFormat::Json,
        queue_lines,
    }
}

#[test]
fn decisions_are_written_and_debug_lines_and_secrets_are_not() {
    let metrics = Metrics::new().unwrap();
    let dropped = metrics.counter("log_dropped_total", "Dropped.").unwrap();
    let out = Shared::default();
    let (log, guard) = start_logger_to(options(64), dropped, out.clone());
    let secret = Secret::new("correct-horse");
    decision!(log, "route"; "endpoint" => "e1", "key" => ?secret);
    slog::debug!(log, "below the level");
    drop(log);
    drop(guard);
    let text = String::from_utf8(out.0.lock().unwrap().clone()).unwrap();
    assert!(text.contains("\"decision\":\"route\""), "{text}");
    assert!(text.contains("\"endpoint\":\"e1\""), "{text}");
    assert!(!text.contains("below"), "{text}");
    assert!(!text.contains("horse"), "{text}");
}

/// A writer that waits until the test lets it go on.
struct Stuck(mpsc::Receiver<()>);

impl Write for Stuck {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        let _ = self.0.recv();
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn a_stuck_writer_drops_and_counts_lines_and_blocks_nobody() {
    let metrics = Metrics::new().unwrap();
    let dropped = metrics.counter("log_dropped_total", "Dropped.").unwrap();
    let (release, gate) = mpsc::channel();
    let (log, guard) = start_logger_to(options(64), dropped.clone(), Stuck(gate));
    for i in 0..1000 {
        slog::info!(log, "line"; "i" => i);
    }
    assert!(dropped.get() >= 1000 - 64 - 2, "{}", dropped.get());
    let page = String::from_utf8(metrics.render().unwrap()).unwrap();
    assert!(page.contains("anvilloft_log_dropped_total"), "{page}");
    drop(release);
    drop(log);
    drop(guard);
}
