//! Trace of one request, collected from the JSON logs of several processes.

use std::fmt;

use serde_json::Map;
use serde_json::Value;

/// Messages of lines that end a request.
const END_MESSAGES: [&str; 4] = ["answered", "refused", "stream ended", "stream broken off"];
/// Messages of lines that record the state of a process: its contact with
/// control, its route table and its start.
const STATE_MESSAGES: [&str; 3] = ["control", "route table", "serves callers"];

/// One log line.
#[derive(Clone, Debug, PartialEq)]
pub struct LogLine {
    /// Timestamp as written. The lines of a trace are sorted by it.
    pub ts: String,
    /// Host that wrote the line.
    pub host: String,
    /// Log message.
    pub msg: String,
    /// All other fields.
    pub fields: Map<String, Value>,
}

impl LogLine {
    /// Parses a line of a log. Text before the JSON object is skipped. Returns
    /// `None` if the line has no object with a timestamp and a message.
    pub fn parse(text: &str) -> Option<Self> {
        let json = &text[text.find('{')?..];
        let mut fields: Map<String, Value> = serde_json::from_str(json).ok()?;
        let mut take = |name: &str| match fields.remove(name) {
            Some(Value::String(s)) => Some(s),
            _ => None,
        };
        Some(Self {
            ts: take("ts")?,
            msg: take("msg")?,
            host: take("host").unwrap_or_default(),
            fields,
        })
    }

    /// Returns a field as text; empty when the line doesn't have it.
    pub fn field(&self, name: &str) -> String {
        match self.fields.get(name) {
            Some(Value::String(s)) => s.clone(),
            Some(value) => value.to_string(),
            None => String::new(),
        }
    }

    fn field_is(&self, name: &str, value: bool) -> bool {
        self.fields.get(name) == Some(&Value::Bool(value))
    }
}

impl fmt::Display for LogLine {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {} {}", self.ts, self.host, self.msg)?;
        for (name, value) in &self.fields {
            if name != "request" && name != "level" {
                write!(f, " {name}={value}")?;
            }
        }
        Ok(())
    }
}

/// The log lines of one request and the cause of its end.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RequestTrace {
    /// Lines of the request, and the last state of its first host before it.
    pub lines: Vec<LogLine>,
    /// Why the request ended as it did; empty when the logs don't show its end.
    pub cause: String,
    /// Parts of the trace that are missing from the logs.
    pub missing: Vec<String>,
}

impl RequestTrace {
    /// Collects the trace of the request `id` from the lines of several logs, in
    /// any order.
    pub fn from_logs<'a>(id: &str, logs: impl IntoIterator<Item = &'a str>) -> Self {
        let mut line_count = 0_u64;
        let mut request_lines = Vec::new();
        let mut states = Vec::new();
        for text in logs {
            line_count += 1;
            let Some(line) = LogLine::parse(text) else {
                continue;
            };
            if line.field("request") == id {
                request_lines.push(line);
            } else if STATE_MESSAGES.contains(&line.msg.as_str()) {
                states.push(line);
            }
        }
        request_lines.sort_by(|a, b| a.ts.cmp(&b.ts));
        states.sort_by(|a, b| a.ts.cmp(&b.ts));
        let Some(first) = request_lines.first().cloned() else {
            return Self {
                missing: vec![format!("none of {line_count} lines has request \"{id}\"")],
                ..Self::default()
            };
        };
        let state_before = |msg: &str| {
            let is_before = |l: &&LogLine| l.msg == msg && l.host == first.host && l.ts <= first.ts;
            states.iter().rfind(is_before)
        };
        let before: Vec<LogLine> = STATE_MESSAGES
            .iter()
            .filter_map(|m| state_before(m))
            .cloned()
            .collect();
        let mut trace = Self::default();
        match request_lines
            .iter()
            .rfind(|l| END_MESSAGES.contains(&l.msg.as_str()))
        {
            Some(end) => trace.cause = cause_of_end(end, &request_lines, state_before("control")),
            None => trace.missing.push(missing_end(&request_lines, &states)),
        }
        trace.lines = before.into_iter().chain(request_lines).collect();
        trace.lines.sort_by(|a, b| a.ts.cmp(&b.ts));
        trace
    }
}

/// Describes the missing end of a request, and why it may be missing.
fn missing_end(request_lines: &[LogLine], states: &[LogLine]) -> String {
    let Some(last) = request_lines.last() else {
        return String::new();
    };
    let is_restart =
        |l: &&LogLine| l.msg == "serves callers" && l.host == last.host && l.ts > last.ts;
    let reason = match states.iter().find(is_restart) {
        Some(l) => format!("its process was restarted at {}", l.ts),
        None => "the log ends or the line was dropped".to_owned(),
    };
    format!(
        "the end of the request after {} at host {}: {reason}",
        last.ts, last.host
    )
}

/// Describes why a request ended with the line `end`. `control` is the last line
/// of its host about contact with control before the request.
fn cause_of_end(end: &LogLine, request_lines: &[LogLine], control: Option<&LogLine>) -> String {
    // An attempt can't have run when no byte of it was written.
    let request_lines: Vec<&LogLine> = request_lines
        .iter()
        .filter(|l| !l.field_is("written", false))
        .collect();
    let last = |messages: &[&str]| {
        request_lines
            .iter()
            .rfind(|l| messages.contains(&l.msg.as_str()))
    };
    match end.msg.as_str() {
        "answered" => format!("answered with status {}", end.field("status")),
        "stream ended" => format!("the stream ended after {} events", end.field("events")),
        "stream broken off" => match last(&["endpoint broke off"]) {
            Some(l) => format!(
                "endpoint {} broke off after {} events ({}); {}",
                l.field("endpoint"),
                l.field("events"),
                l.field("error"),
                end.field("reason")
            ),
            None => end.field("reason"),
        },
        _ if end.field("code") == "tokens_short" && end.field_is("in_touch", false) => {
            let since = match control {
                Some(l) if l.field_is("in_touch", false) => format!(" since {}", l.ts),
                _ => String::new(),
            };
            format!(
                "host {} was cut off from control{since}: {}",
                end.host,
                end.field("reason")
            )
        }
        _ if end.field("run") == "unknown" => {
            match last(&["attempt failed", "answer broke off", "endpoint broke off"]) {
                Some(l) => format!(
                    "endpoint {} failed after it got the request ({}); only its own records \
                 show whether it ran",
                    l.field("endpoint"),
                    l.field("error")
                ),
                None => end.field("reason"),
            }
        }
        _ => end.field("reason"),
    }
}
