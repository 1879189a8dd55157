//! `anvilloft model`: lists and changes models.

use clap::ArgMatches;
use clap::Command;

use crate::cmd::items::Field;
use crate::cmd::items::Items;
use crate::cmd::items::Type;
use crate::error::CliError;

const ITEMS: Items = Items {
    one: "model",
    path: "models",
    about: "Lists and changes models",
    by_team: false,
    fields: &[
        Field {
            name: "version",
            flag: "version",
            ty: Type::Text,
            help: "Version to serve; empty for any",
        },
        Field {
            name: "default_max_tokens",
            flag: "default-max-tokens",
            ty: Type::Number,
            help: "Output limit of requests that name none, in tokens",
        },
        Field {
            name: "max_tokens",
            flag: "max-tokens",
            ty: Type::Number,
            help: "Largest output limit, in tokens",
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
