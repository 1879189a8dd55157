//! Status of the fleet, with a list of its problems, errors first.

use serde_json::Value;
use serde_json::json;

/// Maximum number of nearly empty budgets in the list of problems.
const MAX_LISTED_BUDGETS: usize = 20;

/// Builds an entry of the list of problems.
fn problem(severity: &str, what: String, advice: &str) -> Value {
    json!({ "severity": severity, "what": what, "advice": advice })
}

/// Builds the response from the status of the ledger, the control group and the
/// routers, and the budgets. Budgets with fewer unspent tokens than
/// `low_budget_tokens` are listed as problems.
pub(super) fn fleet_status(
    ledger: &Value,
    group: &Value,
    routers: &Value,
    budgets: &Value,
    low_budget_tokens: u64,
) -> Value {
    let mut problems = Vec::new();
    group_problems(group, &mut problems);
    router_problems(routers, &mut problems);
    ledger_problems(ledger, &mut problems);
    budget_problems(budgets, low_budget_tokens, &mut problems);
    // The sort is stable: problems of one severity stay in the order above.
    problems.sort_by_key(|p| p["severity"] != "error");
    json!({
        "ok": problems.is_empty(),
        "problems": problems,
        "ledger": ledger,
        "group": group,
        "routers": routers,
    })
}

/// Builds the response for a team, which sees only its own budgets.
pub(super) fn team_status(ledger: &Value, budgets: &Value, low_budget_tokens: u64) -> Value {
    let mut problems = Vec::new();
    budget_problems(budgets, low_budget_tokens, &mut problems);
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
            "check that a majority of the members runs and that they reach each other",
        ));
    }
    for member in members {
        let label = format!("{} at {}", member["id"], member["address"]);
        if member["silent"] == true {
            problems.push(problem(
                "error",
                format!("control member {label} is not responding"),
                "restart it, or replace it if its disk is lost",
            ));
        } else if member["voter"] == false {
            problems.push(problem(
                "warning",
                format!("control member {label} is a learner"),
                "promote it once it has caught up",
            ));
        }
    }
    if voters == 1 {
        problems.push(problem(
            "warning",
            "the control group has one voter".to_owned(),
            "add members; a group with one voter tolerates no failure",
        ));
    } else if voters.is_multiple_of(2) && voters > 0 {
        problems.push(problem(
            "warning",
            format!("the control group has {voters} voters"),
            "use an odd number of voters; one voter fewer tolerates as many failures",
        ));
    }
}

fn router_problems(routers: &Value, problems: &mut Vec<Value>) {
    let routers = routers.as_array().map_or(&[][..], Vec::as_slice);
    let count_in_state = |state: &str| routers.iter().filter(|r| r["state"] == state).count();
    if count_in_state("alive") == 0 {
        problems.push(problem(
            "error",
            "no router accepts callers".to_owned(),
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
            "restart it at the same addresses; its tokens are returned when the hold time ends",
        ));
    }
}

fn ledger_problems(ledger: &Value, problems: &mut Vec<Value>) {
    let counters = [
        (
            "written_off",
            "tokens were used and could not be billed",
            "check the routers that were lost",
        ),
        (
            "reported_excess",
            "tokens were reported beyond allotments",
            "report this as a bug of the router",
        ),
        (
            "request_keys_evicted",
            "request keys were evicted before their retention time",
            "keep request keys for a shorter time",
        ),
        (
            "suspects",
            "requests are suspected of crashing endpoints",
            "check the endpoints' logs",
        ),
    ];
    for (field, what, advice) in counters {
        let count = ledger[field].as_u64().unwrap_or(0);
        if count > 0 {
            problems.push(problem("warning", format!("{count} {what}"), advice));
        }
    }
}

fn budget_problems(budgets: &Value, low_budget_tokens: u64, problems: &mut Vec<Value>) {
    let budgets = budgets.as_array().map_or(&[][..], Vec::as_slice);
    let low = budgets
        .iter()
        .filter(|b| b["unspent"].as_u64().unwrap_or(0) < low_budget_tokens);
    for budget in low.take(MAX_LISTED_BUDGETS) {
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
