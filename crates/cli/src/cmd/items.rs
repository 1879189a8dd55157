//! What the subcommands for configuration items share: list, show, set and
//! delete.

use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use http::Method;
use serde_json::Value;
use serde_json::json;

use crate::api::Api;
use crate::api::block_on;
use crate::api::encode;
use crate::api::with_change_options;
use crate::api::with_options;
use crate::error::CliError;
use crate::output::print;

/// Type of a field.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Type {
    Text,
    Number,
    Flag,
}

/// A field that `set` can change.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Field {
    pub(crate) name: &'static str,
    /// Name of the option, with dashes.
    pub(crate) flag: &'static str,
    pub(crate) ty: Type,
    pub(crate) help: &'static str,
}

/// A kind of items.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Items {
    /// Name of the subcommand and of one item.
    pub(crate) one: &'static str,
    /// Name in paths.
    pub(crate) path: &'static str,
    /// First line of the help.
    pub(crate) about: &'static str,
    pub(crate) fields: &'static [Field],
    /// Whether the name is preceded by a team.
    pub(crate) by_team: bool,
}

impl Items {
    /// Builds the subcommand.
    pub(crate) fn command(&self) -> Command {
        let list = Command::new("list").about("Lists all");
        let show = self.named(Command::new("show").about("Shows one"));
        let mut set = self.named(
            Command::new("set")
                .about("Adds one, or changes the given fields of the one with this name"),
        );
        for field in self.fields {
            let arg = Arg::new(field.name).long(field.flag).help(field.help);
            set = set.arg(match field.ty {
                Type::Text => arg.value_name("TEXT"),
                Type::Number => arg
                    .value_name("NUMBER")
                    .value_parser(clap::value_parser!(u64)),
                Type::Flag => arg
                    .value_name("true|false")
                    .value_parser(clap::value_parser!(bool)),
            });
        }
        let delete = self.named(Command::new("delete").about("Deletes one"));
        with_options(Command::new(self.one).about(self.about))
            .subcommand_required(true)
            .subcommand(list)
            .subcommand(show)
            .subcommand(with_change_options(set))
            .subcommand(with_change_options(delete))
    }

    fn named(&self, command: Command) -> Command {
        let command = if self.by_team {
            command.arg(Arg::new("of-team").value_name("TEAM").required(true))
        } else {
            command
        };
        command.arg(Arg::new("name").value_name("NAME").required(true))
    }

    /// Returns the path of the named item.
    pub(crate) fn item_path(&self, args: &ArgMatches) -> String {
        let mut path = format!("/admin/v1/{}", self.path);
        let ids: &[&str] = if self.by_team {
            &["of-team", "name"]
        } else {
            &["name"]
        };
        for id in ids {
            let text = args.get_one::<String>(id).map_or("", String::as_str);
            path.push_str(&format!("/{}", encode(text)));
        }
        path
    }

    /// Runs list, show, set or delete.
    pub(crate) fn run(&self, args: &ArgMatches) -> Result<(), CliError> {
        let Some((verb, args)) = args.subcommand() else {
            return Err(CliError::Usage("a subcommand must be given".to_owned()));
        };
        let api = Api::new(args)?;
        let reply = block_on(async {
            match verb {
                "list" => api.list(self.path).await,
                "show" => Ok(api.get(&self.item_path(args)).await?[self.one].clone()),
                "set" => self.set(&api, args).await,
                _ => {
                    let body = api.change(args, json!({})).await?;
                    let path = self.item_path(args);
                    api.call(Method::DELETE, &path, Some(&body)).await
                }
            }
        })?;
        print(args, &reply);
        Ok(())
    }

    async fn set(&self, api: &Api, args: &ArgMatches) -> Result<Value, CliError> {
        let path = self.item_path(args);
        let mut base = None;
        let mut item = match api.get(&path).await {
            Ok(mut reply) => {
                base = reply["revision"].as_u64();
                reply[self.one].take()
            }
            Err(CliError::Refused(code, _)) if code == "not_found" => json!({}),
            Err(err) => return Err(err),
        };
        // Amounts belong to the ledger and are no fields of the item.
        if let Some(fields) = item.as_object_mut() {
            fields.retain(|name, _| {
                ["name", "team", "sha256"].contains(&name.as_str())
                    || self.fields.iter().any(|field| field.name == name)
            });
        }
        for field in self.fields {
            let value = match field.ty {
                Type::Text => args.get_one::<String>(field.name).map(|v| json!(v)),
                Type::Number => args.get_one::<u64>(field.name).map(|v| json!(v)),
                Type::Flag => args.get_one::<bool>(field.name).map(|v| json!(v)),
            };
            if let Some(value) = value {
                item[field.name] = value;
            }
        }
        if self.by_team {
            // An exception keeps its own reason, so that the list explains
            // itself.
            item["reason"] = json!(args.get_one::<String>("reason"));
        }
        let mut body = api.change(args, json!({ "item": item })).await?;
        // The item must not be older than the base of the change.
        if let (Some(base), None) = (base, args.get_one::<u64>("base-revision")) {
            body["base_revision"] = json!(base);
        }
        api.call(Method::PUT, &path, Some(&body)).await
    }
}
