//! `anvilloft model`: lists and changes models.

use clap::ArgMatches;
use clap::Command;

use crate::cmd::items::Field;
use crate::cmd::items::FieldType;
use crate::cmd::items::ItemCommand;
use crate::error::CliError;

const ITEMS: ItemCommand = ItemCommand {
    singular: "model",
    path: "models",
    about: "Lists and changes models",
    team_scoped: false,
    fields: &[
        Field {
            name: "version",
            flag: "version",
            ty: FieldType::Text,
            help: "Version to serve; empty for any",
        },
        Field {
            name: "default_max_tokens",
            flag: "default-max-tokens",
            ty: FieldType::Number,
            help: "Output limit of requests that specify none, in tokens",
        },
        Field {
            name: "max_tokens",
            flag: "max-tokens",
            ty: FieldType::Number,
            help: "Maximum output limit of a request, in tokens",
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
