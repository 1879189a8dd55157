//! Tests of a relay between callers and scripted endpoints, with a control member.

#![expect(clippy::unwrap_used, reason = "a failed set-up fails the test")]

mod common;
mod refusals;
mod requests;
mod resumes;
mod traces;
