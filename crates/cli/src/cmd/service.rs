//! `anvilloft service`: lists and changes plain services.

use clap::ArgMatches;
use clap::Command;

use crate::cmd::items::Field;
use crate::cmd::items::Items;
use crate::cmd::items::Type;
use crate::error::CliError;

const ITEMS: Items = Items {
    one: "service",
    path: "services",
    about: "Lists and changes plain services",
    by_team: false,
    fields: &[
        Field {
            name: "idempotent",
            flag: "idempotent",
            ty: Type::Flag,
            help: "Whether its calls may be repeated",
        },
        Field {
            name: "price",
            flag: "price",
            ty: Type::Number,
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
