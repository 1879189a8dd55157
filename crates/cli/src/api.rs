//! Client of the administration API.

use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;

use anvilloft_settings::Secret;
use clap::Arg;
use clap::ArgAction;
use clap::ArgMatches;
use clap::Command;
use http::Method;
use http::header;
use http_body_util::BodyExt;
use rand::TryRngCore;
use rand::rngs::OsRng;
use serde_json::Value;
use serde_json::json;
use tokio::net::TcpStream;
use tokio::time::Instant;
use tokio::time::timeout;
use volo::net::Address;
use volo_http::client::Client;
use volo_http::client::ClientBuilder;

use crate::error::CliError;

/// Default timeout of one request, resends included, in seconds.
const DEFAULT_TIMEOUT_S: &str = "20";
/// Timeout of the connection to one address.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Timeout of one response. It is longer than a control member waits for its
/// group.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(8);
/// Delay before all addresses are tried again.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Maximum size of a response, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;

/// Adds the options of every subcommand that uses the API.
pub(crate) fn with_options(command: Command) -> Command {
    command
        .arg(
            Arg::new("admin")
                .long("admin")
                .value_name("ADDRESSES")
                .help("Administration addresses of control members, separated by commas [environment: ANVILLOFT_ADMIN]")
                .global(true),
        )
        .arg(
            Arg::new("key-file")
                .long("key-file")
                .value_name("FILE")
                .help("File with the key, readable by its owner only [environment: ANVILLOFT_KEY_FILE]")
                .global(true),
        )
        .arg(
            Arg::new("timeout")
                .long("timeout")
                .value_name("SECONDS")
                .value_parser(clap::value_parser!(u64).range(1..=3600))
                .default_value(DEFAULT_TIMEOUT_S)
                .help("Timeout of one request, resends included")
                .global(true),
        )
        .arg(
            Arg::new("json")
                .long("json")
                .action(ArgAction::SetTrue)
                .help("Prints JSON")
                .global(true),
        )
}

/// Adds the options of every subcommand that changes the configuration.
pub(crate) fn with_change_options(command: Command) -> Command {
    command
        .arg(
            Arg::new("reason")
                .long("reason")
                .value_name("TEXT")
                .required(true)
                .help("Reason for the change; kept in the history"),
        )
        .arg(
            Arg::new("change-id")
                .long("change-id")
                .value_name("ID")
                .help(
                    "Id of the change; a change with the same id is made only once [default: random]",
                ),
        )
        .arg(
            Arg::new("base-revision")
                .long("base-revision")
                .value_name("REVISION")
                .value_parser(clap::value_parser!(u64))
                .help("Revision that the change is based on [default: the current one]"),
        )
        .arg(
            Arg::new("dry-run")
                .long("dry-run")
                .action(ArgAction::SetTrue)
                .help("Shows what would change without changing it"),
        )
}

/// Returns random bytes as hexadecimal digits.
pub(crate) fn random_hex(bytes: usize) -> Result<String, CliError> {
    let mut buf = vec![0; bytes];
    OsRng
        .try_fill_bytes(&mut buf)
        .map_err(|err| CliError::Usage(format!("can't get random numbers: {err}")))?;
    Ok(hex::encode(buf))
}

/// Client of the administration API.
pub(crate) struct ApiClient {
    addresses: Vec<SocketAddr>,
    key: String,
    client: Client,
    timeout: Duration,
    /// Id of the change or top-up that this invocation makes.
    change_id: String,
}

/// Returns the value of an option, or of its environment variable.
fn option_or_env(args: &ArgMatches, name: &str, variable: &str) -> Result<String, CliError> {
    args.get_one::<String>(name)
        .cloned()
        .or_else(|| std::env::var(variable).ok())
        .ok_or_else(|| {
            CliError::Usage(format!(
                "--{name} or the environment variable {variable} is required"
            ))
        })
}

impl ApiClient {
    /// Creates a client from the options of a subcommand.
    pub(crate) fn new(args: &ArgMatches) -> Result<Self, CliError> {
        let addresses = option_or_env(args, "admin", "ANVILLOFT_ADMIN")?
            .split(',')
            .map(|part| {
                part.trim().parse().map_err(|_| {
                    CliError::Usage(format!("`{part}` is not an address such as 192.0.2.1:7100"))
                })
            })
            .collect::<Result<_, _>>()?;
        let path = PathBuf::from(option_or_env(args, "key-file", "ANVILLOFT_KEY_FILE")?);
        let key = read_key(&path)?;
        let change_id = match args.try_get_one::<String>("change-id") {
            Ok(Some(id)) => id.clone(),
            _ => random_hex(16)?,
        };
        let mut builder = ClientBuilder::new();
        builder.set_request_timeout(RESPONSE_TIMEOUT);
        let client = builder
            .build()
            .map_err(|err| CliError::Usage(format!("can't create the HTTP client: {err}")))?;
        Ok(Self {
            addresses,
            key,
            client,
            timeout: Duration::from_secs(args.get_one("timeout").copied().unwrap_or(20)),
            change_id,
        })
    }

    /// Returns the id of the change or top-up that this invocation makes.
    pub(crate) fn change_id(&self) -> &str {
        &self.change_id
    }

    /// Adds the fields common to all change requests to `body`.
    pub(crate) async fn change_body(
        &self,
        args: &ArgMatches,
        mut body: Value,
    ) -> Result<Value, CliError> {
        let revision = match args.get_one::<u64>("base-revision") {
            Some(revision) => *revision,
            None => self.current_revision().await?,
        };
        body["change_id"] = json!(self.change_id);
        body["base_revision"] = json!(revision);
        body["reason"] = json!(args.get_one::<String>("reason"));
        body["dry_run"] = json!(args.get_flag("dry-run"));
        Ok(body)
    }

    async fn current_revision(&self) -> Result<u64, CliError> {
        let ranks = self.get("/admin/v1/ranks").await?;
        ranks["revision"]
            .as_u64()
            .ok_or_else(|| CliError::NotRun("the response contains no revision".to_owned()))
    }

    /// Sends a GET request.
    pub(crate) async fn get(&self, path: &str) -> Result<Value, CliError> {
        self.call(Method::GET, path, None).await
    }

    /// Returns all items of a kind, read page by page.
    pub(crate) async fn list(&self, kind: &str) -> Result<Value, CliError> {
        let mut all = Vec::new();
        let mut path = format!("/admin/v1/{kind}");
        loop {
            let mut page = self.get(&path).await?;
            if let Value::Array(items) = page[kind].take() {
                all.extend(items);
            }
            match page["next"].as_str() {
                Some(next) => path = format!("/admin/v1/{kind}?after={}", percent_encode(next)),
                None => return Ok(Value::Array(all)),
            }
        }
    }

    /// Sends a request to one member after another until one can run it.
    /// Resends it with the same ids after a lost response.
    pub(crate) async fn call(
        &self,
        method: Method,
        path: &str,
        body: Option<&Value>,
    ) -> Result<Value, CliError> {
        let deadline = Instant::now() + self.timeout;
        let mut unknown_outcome = None;
        let mut last_error = "no address is given".to_owned();
        loop {
            for address in &self.addresses {
                // Connects first: when that fails, the request wasn't sent and
                // its outcome is known.
                match timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
                    Ok(Ok(_)) => (),
                    Ok(Err(err)) => {
                        last_error = format!("{address}: {err}");
                        continue;
                    }
                    Err(_) => {
                        last_error = format!("{address}: connection timed out");
                        continue;
                    }
                }
                match self.send(*address, method.clone(), path, body).await {
                    Err(reason) => unknown_outcome = Some(format!("{address}: {reason}")),
                    Ok((503 | 429, reply)) => last_error = error_message(&reply),
                    Ok((504, reply)) => unknown_outcome = Some(error_message(&reply)),
                    Ok((status, reply)) if status < 300 => return Ok(reply),
                    Ok((409, reply)) => return Err(CliError::Conflict(error_message(&reply))),
                    Ok((_, reply)) => {
                        let code = reply["error"]["code"].as_str().unwrap_or("error");
                        return Err(CliError::Refused(code.to_owned(), error_message(&reply)));
                    }
                }
            }
            if Instant::now() + RETRY_DELAY >= deadline {
                return Err(match unknown_outcome {
                    Some(reason) if method != Method::GET => {
                        CliError::Unknown(reason, self.change_id.clone())
                    }
                    Some(reason) => CliError::NotRun(reason),
                    None => CliError::NotRun(last_error),
                });
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }

    /// Sends a request once and returns the status and body of the response.
    async fn send(
        &self,
        address: SocketAddr,
        method: Method,
        path: &str,
        body: Option<&Value>,
    ) -> Result<(u16, Value), String> {
        let body = body.map(Value::to_string).unwrap_or_default();
        let response = self
            .client
            .request(method, format!("http://{address}{path}"))
            .address(Address::from(address))
            .header(header::AUTHORIZATION, format!("Bearer {}", self.key))
            .data(body)
            .send()
            .await
            .map_err(|err| err.to_string())?;
        let status = response.status().as_u16();
        let limited = http_body_util::Limited::new(response.into_body(), MAX_RESPONSE_BYTES);
        let bytes = limited.collect().await.map_err(|err| err.to_string())?;
        let reply = serde_json::from_slice(&bytes.to_bytes()).map_err(|err| err.to_string())?;
        Ok((status, reply))
    }
}

fn error_message(reply: &Value) -> String {
    reply["error"]["message"]
        .as_str()
        .unwrap_or("the response has no error message")
        .to_owned()
}

fn read_key(path: &Path) -> Result<String, CliError> {
    let key = Secret::from_file(path).map_err(CliError::Usage)?;
    String::from_utf8(key.expose().to_vec())
        .map_err(|_| CliError::Usage(format!("the key in {} is not valid UTF-8", path.display())))
}

/// Percent-encodes a name for use in a path or query.
pub(crate) fn percent_encode(name: &str) -> String {
    let mut out = String::new();
    for b in name.bytes() {
        if b.is_ascii_alphanumeric() || b"-_.".contains(&b) {
            out.push(char::from(b));
        } else {
            out.push_str(&format!("%{b:02X}"));
        }
    }
    out
}

/// Runs a future to completion on a runtime of its own.
pub(crate) fn block_on<T>(
    future: impl Future<Output = Result<T, CliError>>,
) -> Result<T, CliError> {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|err| CliError::Usage(format!("can't start the runtime: {err}")))?
        .block_on(future)
}
