//! `anvilloft rank`: lists and changes ranks of work.

use clap::ArgMatches;
use clap::Command;

use crate::cmd::items::Field;
use crate::cmd::items::Items;
use crate::cmd::items::Type;
use crate::error::CliError;

const ITEMS: Items = Items {
    one: "rank",
    path: "ranks",
    about: "Lists and changes ranks of work",
    by_team: false,
    fields: &[
        Field {
            name: "level",
            flag: "level",
            ty: Type::Number,
            help: "Order of service; 0 is served first",
        },
        Field {
            name: "weight",
            flag: "weight",
            ty: Type::Number,
            help: "Weight among ranks of one level",
        },
        Field {
            name: "floor_percent",
            flag: "floor-percent",
            ty: Type::Number,
            help: "Share of tokens kept while the rank has demand, in percent",
        },
        Field {
            name: "queue_ms",
            flag: "queue-ms",
            ty: Type::Number,
            help: "Longest time in the queue, in milliseconds",
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
