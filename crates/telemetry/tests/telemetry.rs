//! Guards against logging that blocks or drops lines without counting them,
//! lines below the configured level, and metrics without the prefix.

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

/// A buffer to which the log is written.
#[derive(Clone, Default)]
struct SharedBuf(Arc<Mutex<Vec<u8>>>);

impl Write for SharedBuf {
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
fn decisions_are_logged_and_debug_lines_and_secrets_are_not() {
    let metrics = Metrics::new().unwrap();
    let dropped = metrics.counter("log_dropped_total", "Dropped.").unwrap();
    let out = SharedBuf::default();
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

/// A writer that blocks until the test drops the sender.
struct BlockedWriter(mpsc::Receiver<()>);

impl Write for BlockedWriter {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        let _ = self.0.recv();
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn a_blocked_writer_drops_and_counts_lines_and_blocks_no_caller() {
    let metrics = Metrics::new().unwrap();
    let dropped = metrics.counter("log_dropped_total", "Dropped.").unwrap();
    let (release, gate) = mpsc::channel();
    let (log, guard) = start_logger_to(options(64), dropped.clone(), BlockedWriter(gate));
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
