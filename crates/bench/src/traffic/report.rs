//! Rows and text form of the report.

use std::fmt;

use serde::Serialize;

/// Required bound of a value.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Bound {
    /// The value must be at least this.
    AtLeast(f64),
    /// The value must be at most this.
    AtMost(f64),
    /// The value must be below this.
    Below(f64),
}

impl Bound {
    /// Returns whether a value is within the bound.
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
    /// Name of the simulated case.
    pub case: String,
    /// Number of endpoints.
    pub endpoints: usize,
    /// Name of the policy that took the decisions.
    pub policy: String,
    /// What was measured, with its unit.
    pub measure: String,
    /// Measured value.
    pub value: f64,
    /// Required bound; only rows of the shipped policy have one.
    pub bound: Option<Bound>,
}

impl Row {
    /// Returns whether the value is within its bound; `true` without a bound.
    pub fn holds(&self) -> bool {
        self.bound.is_none_or(|b| b.holds(self.value))
    }
}

/// Report of a run.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Report {
    /// Seed that repeats the run.
    pub seed: u64,
    /// Assumptions behind the values.
    pub notes: Vec<String>,
    /// Measured values.
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
            let result = match (r.bound, r.holds()) {
                (None, _) => "",
                (_, true) => "ok",
                (_, false) => "MISS",
            };
            writeln!(
                f,
                "{:<26} {:>5} {:<16} {:<42} {:>12.4} {:>10} {}",
                r.case, r.endpoints, r.policy, r.measure, r.value, bound, result
            )?;
        }
        Ok(())
    }
}
