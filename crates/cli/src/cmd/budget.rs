//! `anvilloft budget`: lists, changes and tops up budgets.

use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use http::Method;
use serde_json::json;

use crate::api::ApiClient;
use crate::api::block_on;
use crate::api::with_options;
use crate::cmd::items::Field;
use crate::cmd::items::FieldType;
use crate::cmd::items::ItemCommand;
use crate::error::CliError;
use crate::output::print;

const ITEMS: ItemCommand = ItemCommand {
    singular: "budget",
    path: "budgets",
    about: "Lists, changes and tops up budgets",
    team_scoped: false,
    fields: &[Field {
        name: "team",
        flag: "team",
        ty: FieldType::Text,
        help: "Team that owns the budget; can't be changed later",
    }],
};

/// Returns the command-line definition.
pub(crate) fn command() -> Command {
    let top_up = Command::new("topup")
        .about("Adds tokens, or corrects the budget with a negative amount")
        .arg(Arg::new("name").value_name("NAME").required(true))
        .arg(
            Arg::new("amount")
                .value_name("TOKENS")
                .required(true)
                .allow_negative_numbers(true)
                .value_parser(clap::value_parser!(i64)),
        )
        .arg(
            Arg::new("reason")
                .long("reason")
                .value_name("TEXT")
                .required(true)
                .help("Reason for the top-up; kept in the history"),
        )
        .arg(
            Arg::new("change-id")
                .long("change-id")
                .value_name("ID")
                .help("Id of the top-up; a top-up with the same id is made only once [default: random]"),
        );
    let balances = Command::new("balances").about(
        "Shows where the tokens of all budgets are: spent, free, at live routers, and held by dead ones",
    );
    ITEMS
        .command()
        .subcommand(balances)
        .subcommand(with_options(top_up))
}

/// Runs the subcommand.
pub(crate) fn run(args: &ArgMatches) -> Result<(), CliError> {
    if let Some(("balances", args)) = args.subcommand() {
        let rows = block_on(ApiClient::new(args)?.list("balances"))?;
        print(args, &rows);
        return Ok(());
    }
    let Some(("topup", args)) = args.subcommand() else {
        return ITEMS.run(args);
    };
    let api = ApiClient::new(args)?;
    let body = json!({
        "id": api.change_id(),
        "amount": args.get_one::<i64>("amount"),
        "reason": args.get_one::<String>("reason"),
    });
    let path = format!("{}/topups", ITEMS.item_path(args));
    let reply = block_on(api.call(Method::POST, &path, Some(&body)))?;
    print(args, &reply);
    Ok(())
}
