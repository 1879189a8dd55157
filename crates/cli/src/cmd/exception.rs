//! `anvilloft exception`: lists and changes exceptions to defaults.

use clap::ArgMatches;
use clap::Command;

use crate::cmd::items::Field;
use crate::cmd::items::FieldType;
use crate::cmd::items::ItemCommand;
use crate::error::CliError;

const ITEMS: ItemCommand = ItemCommand {
    singular: "exception",
    path: "exceptions",
    about: "Lists and changes exceptions to defaults, each for one team",
    team_scoped: true,
    fields: &[Field {
        name: "value",
        flag: "value",
        ty: FieldType::Number,
        help: "Value, in the unit at the end of the name",
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
