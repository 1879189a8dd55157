//! Evacuated data centres, as control tells them.

use anvilloft_dispatch::EvacuationList;
use anvilloft_wire::command::Evacuations;

use crate::state::RelayState;

/// Takes a list from a lease or a push, unless the one in force is as new.
pub(crate) fn adopt(cx: &RelayState, list: Evacuations) {
    let list = EvacuationList {
        version: list.version,
        data_centres: list.data_centres,
    };
    let changed = cx.dispatcher().set_evacuated(cx.now(), &list);
    let Some(change) = changed else {
        return;
    };
    let count = i64::try_from(list.data_centres.len()).unwrap_or(i64::MAX);
    cx.metrics.evacuated_data_centres.set(count);
    slog::info!(cx.log, "evacuations"; "version" => list.version,
        "data_centres" => ?list.data_centres, "started" => ?change.started,
        "ended" => ?change.ended);
}
