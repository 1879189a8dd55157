//! `anvilloft evacuation`: lists, starts and ends evacuations of data centres.

use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use http::Method;
use serde_json::json;

use crate::api::ApiClient;
use crate::api::block_on;
use crate::api::percent_encode;
use crate::api::with_options;
use crate::error::CliError;
use crate::output::print;

const PATH: &str = "/admin/v1/evacuations";

fn change(name: &'static str, about: &'static str) -> Command {
    Command::new(name)
        .about(about)
        .arg(
            Arg::new("data-centre")
                .value_name("DATA_CENTRE")
                .required(true)
                .help("Name of the data centre, as its endpoints announce it"),
        )
        .arg(
            Arg::new("reason")
                .long("reason")
                .value_name("TEXT")
                .required(true)
                .help("Reason for the change; listed and logged"),
        )
        .arg(
            Arg::new("change-id")
                .long("change-id")
                .value_name("ID")
                .help("Id of the change; a change with the same id is made only once [default: random]"),
        )
}

/// Returns the command-line definition.
pub(crate) fn command() -> Command {
    with_options(
        Command::new("evacuation")
            .about("Lists, starts and ends evacuations: routers send nothing new to the endpoints of these data centres"),
    )
    .subcommand_required(true)
    .subcommand(Command::new("list").about(
        "Lists the evacuated data centres, and the latest changes, newest first",
    ))
    .subcommand(change("start", "Starts the evacuation of a data centre"))
    .subcommand(change("end", "Ends the evacuation of a data centre"))
}

/// Runs the subcommand.
pub(crate) fn run(args: &ArgMatches) -> Result<(), CliError> {
    let (name, args) = args.subcommand().unwrap_or(("list", args));
    let api = ApiClient::new(args)?;
    let method = match name {
        "start" => Method::PUT,
        "end" => Method::DELETE,
        _ => {
            print(args, &block_on(api.get(PATH))?);
            return Ok(());
        }
    };
    let body = json!({
        "change_id": api.change_id(),
        "reason": args.get_one::<String>("reason"),
    });
    let data_centre = args.get_one::<String>("data-centre");
    let data_centre = data_centre.map(String::as_str).unwrap_or_default();
    let path = format!("{PATH}/{}", percent_encode(data_centre));
    let reply = block_on(api.call(method, &path, Some(&body)))?;
    print(args, &reply);
    Ok(())
}
