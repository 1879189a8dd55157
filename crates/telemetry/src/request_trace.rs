//! The story of one request, read back from the JSON logs of several processes.

use std::fmt;

use serde_json::Map;
use serde_json::Value;

/// Lines that end a request.
const ENDS: [&str; 4] = ["answered", "refused", "stream ended", "stream broken off"];
/// Lines that say what a process believes, and when it started.
const BELIEFS: [&str; 3] = ["control", "route table", "serves callers"];

/// One log line.
#[derive(Clone, Debug, PartialEq)]
pub struct LogLine {
    /// Time as it was written. Lines of one story sort by it.
    pub ts: String,
    /// Host that wrote the line.
    pub host: String,
    /// Message.
    pub msg: String,
    /// All other fields.
    pub fields: Map<String, Value>,
}

impl LogLine {
    /// Reads a line of a log. Text before the JSON object is passed over.
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

    /// Returns a field as text, or an empty text without the field.
    pub fn field(&self, name: &str) -> String {
        match self.fields.get(name) {
            Some(Value::String(s)) => s.clone(),
            Some(value) => value.to_string(),
            None => String::new(),
        }
    }

    fn says(&self, name: &str, value: bool) -> bool {
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

/// What logs say of one request.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RequestTrace {
    /// Lines of the request, and before them what its hosts believed last.
    pub lines: Vec<LogLine>,
    /// Why the request ended as it did; empty when the logs don't say.
    pub cause: String,
    /// Parts that the logs should have and don't.
    pub missing: Vec<String>,
}

impl RequestTrace {
    /// Reads the story of the request with an id from lines of several logs, in
    /// any order.
    pub fn from_logs<'a>(id: &str, logs: impl IntoIterator<Item = &'a str>) -> Self {
        let mut count = 0_u64;
        let mut own = Vec::new();
        let mut beliefs = Vec::new();
        for text in logs {
            count += 1;
            let Some(line) = LogLine::parse(text) else {
                continue;
            };
            if line.field("request") == id {
                own.push(line);
            } else if BELIEFS.contains(&line.msg.as_str()) {
                beliefs.push(line);
            }
        }
        own.sort_by(|a, b| a.ts.cmp(&b.ts));
        beliefs.sort_by(|a, b| a.ts.cmp(&b.ts));
        let Some(first) = own.first().cloned() else {
            return Self {
                missing: vec![format!("none of {count} lines has request \"{id}\"")],
                ..Self::default()
            };
        };
        let before = |msg: &str| {
            let known = |l: &&LogLine| l.msg == msg && l.host == first.host && l.ts <= first.ts;
            beliefs.iter().rfind(known)
        };
        let believed: Vec<LogLine> = BELIEFS.iter().filter_map(|m| before(m)).cloned().collect();
        let mut story = Self::default();
        match own.iter().rfind(|l| ENDS.contains(&l.msg.as_str())) {
            Some(end) => story.cause = cause(end, &own, before("control")),
            None => story.missing.push(no_end(&own, &beliefs)),
        }
        story.lines = believed.into_iter().chain(own).collect();
        story.lines.sort_by(|a, b| a.ts.cmp(&b.ts));
        story
    }
}

/// Says what is missing of a request without an end.
fn no_end(own: &[LogLine], beliefs: &[LogLine]) -> String {
    let Some(last) = own.last() else {
        return String::new();
    };
    let start = |l: &&LogLine| l.msg == "serves callers" && l.host == last.host && l.ts > last.ts;
    let why = match beliefs.iter().find(start) {
        Some(l) => format!("its process started anew at {}", l.ts),
        None => "the log ends or the line was dropped".to_owned(),
    };
    format!(
        "the end of the request after {} at host {}: {why}",
        last.ts, last.host
    )
}

/// Names the cause of a request's end. `own` are its lines, `control` is what its
/// host said last about its contact with control before the request came.
fn cause(end: &LogLine, own: &[LogLine], control: Option<&LogLine>) -> String {
    // An attempt of which nothing was written can't have run.
    let own: Vec<&LogLine> = own.iter().filter(|l| !l.says("written", false)).collect();
    let last = |names: &[&str]| own.iter().rfind(|l| names.contains(&l.msg.as_str()));
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
        _ if end.field("code") == "tokens_short" && end.says("in_touch", false) => {
            let since = match control {
                Some(l) if l.says("in_touch", false) => format!(" since {}", l.ts),
                _ => String::new(),
            };
            format!(
                "host {} was cut off from control{since}: {}",
                end.host,
                end.field("reason")
            )
        }
        _ if end.field("run") == "unknown" => match last(&["attempt failed", "answer broke off"]) {
            Some(l) => format!(
                "endpoint {} failed after it got the request ({}); whether it ran is in its \
                 records alone",
                l.field("endpoint"),
                l.field("error")
            ),
            None => end.field("reason"),
        },
        _ => end.field("reason"),
    }
}
