//! `anvilloft service`: lists and changes plain services.

use clap::ArgMatches;
use clap::Command;

use crate::cmd::items::Field;
use crate::cmd::items::FieldType;
use crate::cmd::items::ItemCommand;
use crate::error::CliError;

const ITEMS: ItemCommand = ItemCommand {
    singular: "service",
    path: "services",
    about: "Lists and changes plain services",
    team_scoped: false,
    fields: &[
        Field {
            name: "idempotent",
            flag: "idempotent",
            ty: FieldType::Flag,
            help: "Whether calls of the service may be retried",
        },
        Field {
            name: "price",
            flag: "price",
            ty: FieldType::Number,
            help: "Price of one call, in tokens",
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
