//! `anvilloft rank`: lists and changes ranks of requests.

use clap::ArgMatches;
use clap::Command;

use crate::cmd::items::Field;
use crate::cmd::items::FieldType;
use crate::cmd::items::ItemCommand;
use crate::error::CliError;

const ITEMS: ItemCommand = ItemCommand {
    singular: "rank",
    path: "ranks",
    about: "Lists and changes ranks of requests",
    team_scoped: false,
    fields: &[
        Field {
            name: "level",
            flag: "level",
            ty: FieldType::Number,
            help: "Priority level; 0 is served first",
        },
        Field {
            name: "weight",
            flag: "weight",
            ty: FieldType::Number,
            help: "Weight among the ranks of the same level",
        },
        Field {
            name: "floor_percent",
            flag: "floor-percent",
            ty: FieldType::Number,
            help: "Minimum share of tokens while the rank has demand, in percent",
        },
        Field {
            name: "queue_ms",
            flag: "queue-ms",
            ty: FieldType::Number,
            help: "Maximum time in the queue, in milliseconds",
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
