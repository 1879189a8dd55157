//! Calls that start and end evacuations of data centres.

use anvilloft_wire::command::Evacuate;
use serde_json::Map;
use serde_json::Value;
use serde_json::json;
use slog::info;

use super::auth::Caller;
use super::change;
use super::error::ApiError;
use super::handlers::Admin;
use super::handlers::Reply;
use crate::evacuations;

impl Admin {
    /// Starts or ends an evacuation.
    pub(super) async fn evacuate(
        &self,
        caller: &Caller,
        params: &[String],
        body: Map<String, Value>,
        active: bool,
    ) -> Result<Reply, ApiError> {
        let (change_id, reason) = change::take_id_and_reason(body)?;
        let command = Evacuate {
            data_centre: params[0].clone(),
            active,
            change_id: change_id.clone(),
            author: caller.key.clone(),
            reason: reason.clone(),
            base_version: None,
        };
        let evacuations =
            evacuations::evacuate(&*self.control, command, self.options.timeout).await?;
        info!(self.log, "evacuation changed";
            "author" => &caller.key, "change_id" => &change_id, "data_centre" => &params[0],
            "active" => active, "version" => evacuations.version, "reason" => &reason);
        let body = json!({
            "version": evacuations.version,
            "data_centres": evacuations.data_centres,
        });
        Ok(Reply { status: 200, body })
    }
}
