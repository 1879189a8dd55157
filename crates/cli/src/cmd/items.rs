//! Common part of the subcommands for configuration items: list, show, set and
//! delete.

use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use http::Method;
use serde_json::Value;
use serde_json::json;

use crate::api::ApiClient;
use crate::api::block_on;
use crate::api::percent_encode;
use crate::api::with_change_options;
use crate::api::with_options;
use crate::error::CliError;
use crate::output::print;

/// Type of a field's value.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FieldType {
    Text,
    Number,
    Flag,
}

/// A field that `set` can change.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Field {
    /// Name in JSON.
    pub(crate) name: &'static str,
    /// Name of the option, without the leading dashes.
    pub(crate) flag: &'static str,
    pub(crate) ty: FieldType,
    pub(crate) help: &'static str,
}

/// Subcommand for one kind of configuration items.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ItemCommand {
    /// Name of the subcommand and of one item.
    pub(crate) singular: &'static str,
    /// Name of the kind in paths of the API.
    pub(crate) path: &'static str,
    /// First line of the help.
    pub(crate) about: &'static str,
    pub(crate) fields: &'static [Field],
    /// Whether an item is identified by a team and a name.
    pub(crate) team_scoped: bool,
}

impl ItemCommand {
    /// Returns the command-line definition.
    pub(crate) fn command(&self) -> Command {
        let list = Command::new("list").about("Lists all items");
        let show = self.with_name_args(Command::new("show").about("Shows one item"));
        let mut set = self.with_name_args(
            Command::new("set")
                .about("Adds an item, or changes the given fields of an existing one"),
        );
        for field in self.fields {
            let arg = Arg::new(field.name).long(field.flag).help(field.help);
            set = set.arg(match field.ty {
                FieldType::Text => arg.value_name("TEXT"),
                FieldType::Number => arg
                    .value_name("NUMBER")
                    .value_parser(clap::value_parser!(u64)),
                FieldType::Flag => arg
                    .value_name("true|false")
                    .value_parser(clap::value_parser!(bool)),
            });
        }
        let delete = self.with_name_args(Command::new("delete").about("Deletes one item"));
        with_options(Command::new(self.singular).about(self.about))
            .subcommand_required(true)
            .subcommand(list)
            .subcommand(show)
            .subcommand(with_change_options(set))
            .subcommand(with_change_options(delete))
    }

    /// Adds the arguments that identify an item.
    fn with_name_args(&self, command: Command) -> Command {
        let command = if self.team_scoped {
            command.arg(Arg::new("of-team").value_name("TEAM").required(true))
        } else {
            command
        };
        command.arg(Arg::new("name").value_name("NAME").required(true))
    }

    /// Returns the path of the named item.
    pub(crate) fn item_path(&self, args: &ArgMatches) -> String {
        let mut path = format!("/admin/v1/{}", self.path);
        let ids: &[&str] = if self.team_scoped {
            &["of-team", "name"]
        } else {
            &["name"]
        };
        for id in ids {
            let text = args.get_one::<String>(id).map_or("", String::as_str);
            path.push_str(&format!("/{}", percent_encode(text)));
        }
        path
    }

    /// Runs list, show, set or delete.
    pub(crate) fn run(&self, args: &ArgMatches) -> Result<(), CliError> {
        let Some((action, args)) = args.subcommand() else {
            return Err(CliError::Usage("a subcommand is required".to_owned()));
        };
        let api = ApiClient::new(args)?;
        let reply = block_on(async {
            match action {
                "list" => api.list(self.path).await,
                "show" => Ok(api.get(&self.item_path(args)).await?[self.singular].clone()),
                "set" => self.set(&api, args).await,
                _ => {
                    let body = api.change_body(args, json!({})).await?;
                    let path = self.item_path(args);
                    api.call(Method::DELETE, &path, Some(&body)).await
                }
            }
        })?;
        print(args, &reply);
        Ok(())
    }

    async fn set(&self, api: &ApiClient, args: &ArgMatches) -> Result<Value, CliError> {
        let path = self.item_path(args);
        let mut revision = None;
        let mut item = match api.get(&path).await {
            Ok(mut reply) => {
                revision = reply["revision"].as_u64();
                reply[self.singular].take()
            }
            Err(CliError::Refused(code, _)) if code == "not_found" => json!({}),
            Err(err) => return Err(err),
        };
        // Drops what is not a field of the item, such as the amounts that the
        // ledger adds to a budget.
        if let Some(fields) = item.as_object_mut() {
            fields.retain(|name, _| {
                ["name", "team", "sha256"].contains(&name.as_str())
                    || self.fields.iter().any(|field| field.name == name)
            });
        }
        for field in self.fields {
            let value = match field.ty {
                FieldType::Text => args.get_one::<String>(field.name).map(|v| json!(v)),
                FieldType::Number => args.get_one::<u64>(field.name).map(|v| json!(v)),
                FieldType::Flag => args.get_one::<bool>(field.name).map(|v| json!(v)),
            };
            if let Some(value) = value {
                item[field.name] = value;
            }
        }
        if self.team_scoped {
            // An exception stores its own reason, so that the list shows it.
            item["reason"] = json!(args.get_one::<String>("reason"));
        }
        let mut body = api.change_body(args, json!({ "item": item })).await?;
        // The change is based on the revision at which the item was read, so
        // that a change of the item in between is a conflict.
        if let (Some(revision), None) = (revision, args.get_one::<u64>("base-revision")) {
            body["base_revision"] = json!(revision);
        }
        api.call(Method::PUT, &path, Some(&body)).await
    }
}
