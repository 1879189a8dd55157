//! State of the fleet with what is wrong first.

use serde_json::Value;
use serde_json::json;

/// Largest count of budgets that are named as nearly empty.
const MAX_NAMED: usize = 20;

/// One thing that is wrong.
fn problem(severity: &str, what: String, advice: &str) -> Value {
    json!({ "severity": severity, "what": what, "advice": advice })
}

/// Builds the answer from the ledger's status, the group's status, and the
/// budgets. `small_budget` is the limit under which a budget is named.
pub(super) fn status(
    ledger: &Value,
    group: &Value,
    routers: &Value,
    budgets: &Value,
    small_budget: u64,
) -> Value {
    let mut problems = Vec::new();
    group_problems(group, &mut problems);
    router_problems(routers, &mut problems);
    ledger_problems(ledger, &mut problems);
    budget_problems(budgets, small_budget, &mut problems);
    // Stable, so problems of one severity stay in the order above.
    problems.sort_by_key(|p| p["severity"] != "error");
    json!({
        "ok": problems.is_empty(),
        "problems": problems,
        "ledger": ledger,
        "group": group,
        "routers": routers,
    })
}

/// Builds the answer for a team.
pub(super) fn team_status(ledger: &Value, budgets: &Value, small_budget: u64) -> Value {
    let mut problems = Vec::new();
    budget_problems(budgets, small_budget, &mut problems);
    json!({
        "ok": problems.is_empty(),
        "problems": problems,
        "revision": ledger["revision"],
        "budgets": budgets,
    })
}

fn group_problems(group: &Value, problems: &mut Vec<Value>) {
    let members = group["members"].as_array().map_or(&[][..], Vec::as_slice);
    let voters = members.iter().filter(|m| m["voter"] == true).count();
    if group["leader"].is_null() {
        problems.push(problem(
            "error",
            "the control group has no leader".to_owned(),
            "check that a majority of the members runs and reaches each other",
        ));
    }
    for member in members {
        let shown = format!("{} at {}", member["id"], member["address"]);
        if member["silent"] == true {
            problems.push(problem(
                "error",
                format!("control member {shown} is silent"),
                "restart it, or replace it when its disk is lost",
            ));
        } else if member["voter"] == false {
            problems.push(problem(
                "warning",
                format!("control member {shown} is a learner"),
                "promote it once it has caught up",
            ));
        }
    }
    if voters == 1 {
        problems.push(problem(
            "warning",
            "the control group has one voter".to_owned(),
            "add members; one voter survives no failure",
        ));
    } else if voters.is_multiple_of(2) && voters > 0 {
        problems.push(problem(
            "warning",
            format!("the control group has {voters} voters"),
            "use an odd number; one voter fewer survives as many failures",
        ));
    }
}

fn router_problems(routers: &Value, problems: &mut Vec<Value>) {
    let routers = routers.as_array().map_or(&[][..], Vec::as_slice);
    let in_state = |state: &str| routers.iter().filter(|r| r["state"] == state).count();
    if in_state("alive") == 0 {
        problems.push(problem(
            "error",
            "no router takes callers".to_owned(),
            "start a router",
        ));
    }
    for router in routers.iter().filter(|r| r["state"] == "lost") {
        problems.push(problem(
            "error",
            format!(
                "router {} is lost with {} tokens allotted",
                router["router"], router["allotted"]
            ),
            "restart it at the same addresses; its tokens return after the hold",
        ));
    }
}

fn ledger_problems(ledger: &Value, problems: &mut Vec<Value>) {
    let rows = [
        (
            "written_off",
            "tokens were used and could not be billed",
            "see the routers that were lost",
        ),
        (
            "reported_excess",
            "tokens were reported beyond allotments",
            "report a fault of the router",
        ),
        (
            "request_keys_evicted",
            "request keys were dropped before their time",
            "keep request keys for a shorter time",
        ),
        (
            "suspects",
            "requests are suspected of crashing endpoints",
            "see the endpoints' logs",
        ),
    ];
    for (field, what, advice) in rows {
        let count = ledger[field].as_u64().unwrap_or(0);
        if count > 0 {
            problems.push(problem("warning", format!("{count} {what}"), advice));
        }
    }
}

fn budget_problems(budgets: &Value, small_budget: u64, problems: &mut Vec<Value>) {
    let budgets = budgets.as_array().map_or(&[][..], Vec::as_slice);
    let small = budgets
        .iter()
        .filter(|b| b["unspent"].as_u64().unwrap_or(0) < small_budget);
    for budget in small.take(MAX_NAMED) {
        problems.push(problem(
            "warning",
            format!(
                "budget {} has {} tokens unspent",
                budget["name"], budget["unspent"]
            ),
            "top it up",
        ));
    }
}
