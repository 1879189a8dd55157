//! `anvilloft default`: lists and changes fleet-wide defaults.

use clap::ArgMatches;
use clap::Command;

use crate::cmd::items::Field;
use crate::cmd::items::Items;
use crate::cmd::items::Type;
use crate::error::CliError;

const ITEMS: Items = Items {
    one: "default",
    path: "defaults",
    about: "Lists and changes fleet-wide defaults",
    by_team: false,
    fields: &[Field {
        name: "value",
        flag: "value",
        ty: Type::Number,
        help: "Value, in the unit that the name ends with",
    }],
};

/// Returns the command-line definition.
pub(crate) fn command() -> Command {
    ITEMS.command()
}

/// Runs the subcommand.
pub(crate) fn run(args: &ArgMatches) -> Result<(), CliError> {
    ITEMS.run(args)
}
