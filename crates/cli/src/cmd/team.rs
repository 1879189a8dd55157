//! `anvilloft team`: lists and changes teams.

use clap::ArgMatches;
use clap::Command;

use crate::cmd::items::Field;
use crate::cmd::items::FieldType;
use crate::cmd::items::ItemCommand;
use crate::error::CliError;

const ITEMS: ItemCommand = ItemCommand {
    singular: "team",
    path: "teams",
    about: "Lists and changes teams",
    team_scoped: false,
    fields: &[
        Field {
            name: "default_rank",
            flag: "default-rank",
            ty: FieldType::Text,
            help: "Rank of requests that specify none",
        },
        Field {
            name: "weight",
            flag: "weight",
            ty: FieldType::Number,
            help: "Weight of the team among all teams",
        },
        Field {
            name: "disabled",
            flag: "disabled",
            ty: FieldType::Flag,
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
