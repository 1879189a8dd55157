//! `anvilloft key`: creates, rotates and revokes keys.
//!
//! The secret is generated here and printed once. Only its SHA-256 is sent, so a
//! resent request has the same content.

use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use http::Method;
use serde_json::Value;
use serde_json::json;
use sha2::Digest;
use sha2::Sha256;

use crate::api::ApiClient;
use crate::api::block_on;
use crate::api::percent_encode;
use crate::api::random_hex;
use crate::api::with_change_options;
use crate::api::with_options;
use crate::error::CliError;
use crate::output::print;

fn name_arg() -> Arg {
    Arg::new("name").value_name("NAME").required(true)
}

fn text_arg(id: &'static str, help: &'static str) -> Arg {
    Arg::new(id).long(id).value_name("TEXT").help(help)
}

/// Returns the command-line definition.
pub(crate) fn command() -> Command {
    let make = Command::new("make")
        .about("Creates a key and prints its secret, which isn't shown again")
        .arg(name_arg())
        .arg(text_arg("team", "Team that owns the key"))
        .arg(text_arg(
            "budget",
            "Budget that pays for requests with the key",
        ))
        .arg(text_arg(
            "role",
            "Role on the administration API: operator, read-only or team [default: none]",
        ));
    let rotate = Command::new("rotate")
        .about("Replaces the secret and prints the new one, which isn't shown again")
        .arg(name_arg());
    let revoke = Command::new("revoke")
        .about("Deletes a key")
        .arg(name_arg());
    with_options(Command::new("key").about("Creates, rotates and revokes keys"))
        .subcommand_required(true)
        .subcommand(Command::new("list").about("Lists all keys"))
        .subcommand(with_change_options(make))
        .subcommand(with_change_options(rotate))
        .subcommand(with_change_options(revoke))
}

/// Runs the subcommand.
pub(crate) fn run(args: &ArgMatches) -> Result<(), CliError> {
    let Some((action, args)) = args.subcommand() else {
        return Err(CliError::Usage("a subcommand is required".to_owned()));
    };
    let api = ApiClient::new(args)?;
    if action == "list" {
        let reply = block_on(api.list("keys"))?;
        print(args, &reply);
        return Ok(());
    }
    let name = args.get_one::<String>("name").map_or("", String::as_str);
    let path = format!("/admin/v1/keys/{}", percent_encode(name));
    let secret = format!("avl_{}", random_hex(32)?);
    let sha256 = hex::encode(Sha256::digest(secret.as_bytes()));
    let mut reply = block_on(async {
        match action {
            "make" => {
                let field = |id: &str| args.get_one::<String>(id).map_or("", String::as_str);
                let body = json!({
                    "name": name,
                    "team": field("team"),
                    "budget": field("budget"),
                    "role": field("role"),
                    "sha256": sha256,
                });
                let body = api.change_body(args, body).await?;
                api.call(Method::POST, "/admin/v1/keys", Some(&body)).await
            }
            "rotate" => {
                let body = api.change_body(args, json!({ "sha256": sha256 })).await?;
                api.call(Method::POST, &format!("{path}/rotate"), Some(&body))
                    .await
            }
            _ => {
                let body = api.change_body(args, json!({})).await?;
                api.call(Method::DELETE, &path, Some(&body)).await
            }
        }
    })
    .inspect_err(|err| {
        // When the outcome is unknown, the secret may be valid.
        if matches!(err, CliError::Unknown(..)) && action != "revoke" {
            eprintln!("secret, valid if the change was made: {secret}");
        }
    })?;
    if action != "revoke" && !args.get_flag("dry-run") {
        reply["secret"] = Value::String(secret);
    }
    print(args, &reply);
    Ok(())
}
