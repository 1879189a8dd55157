//! `anvilloft team`: lists and changes teams.

use clap::ArgMatches;
use clap::Command;

use crate::cmd::items::Field;
use crate::cmd::items::Items;
use crate::cmd::items::Type;
use crate::error::CliError;

const ITEMS: Items = Items {
    one: "team",
    path: "teams",
    about: "Lists and changes teams",
    by_team: false,
    fields: &[
        Field {
            name: "default_rank",
            flag: "default-rank",
            ty: Type::Text,
            help: "Rank of requests that name none",
        },
        Field {
            name: "weight",
            flag: "weight",
            ty: Type::Number,
            help: "Share beside other teams",
        },
        Field {
            name: "disabled",
            flag: "disabled",
            ty: Type::Flag,
            help: "Whether requests of the team are refused",
        },
    ],
};

/// Returns the command-line definition.
pub(crate) fn command() -> Command {
    ITEMS.command()
}

/// Runs the subcommand.
pub(crate) fn run(args: &ArgMatches) -> Result<(), CliError> {
    ITEMS.run(args)
}
