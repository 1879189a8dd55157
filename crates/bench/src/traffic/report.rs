//! Rows of the report and their text form.

use std::fmt;

use serde::Serialize;

/// A requirement on a value.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Bound {
    /// The value is at least this.
    AtLeast(f64),
    /// The value is at most this.
    AtMost(f64),
    /// The value is below this.
    Below(f64),
}

impl Bound {
    /// Returns whether a value keeps the bound.
    pub fn holds(self, value: f64) -> bool {
        match self {
            Self::AtLeast(b) => value >= b,
            Self::AtMost(b) => value <= b,
            Self::Below(b) => value < b,
        }
    }
}

impl fmt::Display for Bound {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::AtLeast(b) => write!(f, ">= {b}"),
            Self::AtMost(b) => write!(f, "<= {b}"),
            Self::Below(b) => write!(f, "< {b}"),
        }
    }
}

/// One measured value.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Row {
    /// What was tried.
    pub case: String,
    /// Count of endpoints.
    pub endpoints: usize,
    /// Decision code that was driven.
    pub policy: String,
    /// What was measured, with its unit.
    pub measure: String,
    /// The value.
    pub value: f64,
    /// Requirement, for the shipped policy only.
    pub bound: Option<Bound>,
}

impl Row {
    /// Returns whether the value keeps its bound; `true` without one.
    pub fn holds(&self) -> bool {
        self.bound.is_none_or(|b| b.holds(self.value))
    }
}

/// Result of a run of the bench.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Report {
    /// Seed that repeats the run.
    pub seed: u64,
    /// Assumptions of the figures.
    pub notes: Vec<String>,
    /// The values.
    pub rows: Vec<Row>,
}

impl Report {
    /// Returns the rows that miss their bound.
    pub fn misses(&self) -> Vec<&Row> {
        self.rows.iter().filter(|r| !r.holds()).collect()
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "seed {}", self.seed)?;
        for note in &self.notes {
            writeln!(f, "- {note}")?;
        }
        writeln!(
            f,
            "{:<26} {:>5} {:<16} {:<42} {:>12} {:>10}",
            "case", "ends", "policy", "measure", "value", "bound"
        )?;
        for r in &self.rows {
            let bound = r.bound.map_or(String::new(), |b| b.to_string());
            let verdict = match (r.bound, r.holds()) {
                (None, _) => "",
                (_, true) => "ok",
                (_, false) => "MISS",
            };
            writeln!(
                f,
                "{:<26} {:>5} {:<16} {:<42} {:>12.4} {:>10} {}",
                r.case, r.endpoints, r.policy, r.measure, r.value, bound, verdict
            )?;
        }
        Ok(())
    }
}
