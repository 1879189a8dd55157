//! Conversions between wire messages and the dispatcher's types.

use std::net::SocketAddr;

use anvilloft_dispatch::Announcement;
use anvilloft_dispatch::EngineLoad;
use anvilloft_dispatch::PromptPart;
use anvilloft_dispatch::SentPrompt;
use anvilloft_types::prelude::*;
use anvilloft_wire::frame::EndpointUpdate;
use anvilloft_wire::frame::EngineLoad as WireLoad;
use anvilloft_wire::frame::SentPrompt as WirePrompt;

pub(crate) fn engine_load_from_wire(wire: WireLoad) -> EngineLoad {
    let by_rank = |ms: &[u32]| {
        std::array::from_fn(|r| Duration::from_millis(ms.get(r).copied().unwrap_or(0).into()))
    };
    EngineLoad {
        backlog: by_rank(&wire.backlog_ms),
        delay: by_rank(&wire.delay_ms),
        endpoint: wire.endpoint,
        in_flight: wire.in_flight,
    }
}

pub(crate) fn sent_prompt_from_wire(wire: WirePrompt) -> SentPrompt {
    let parts = wire.part_ids.into_iter().zip(wire.part_tokens);
    SentPrompt {
        endpoint: wire.endpoint,
        prompt: parts
            .map(|(id, tokens)| PromptPart { id, tokens })
            .collect(),
    }
}

pub(crate) fn sent_prompt_to_wire(sent: SentPrompt) -> WirePrompt {
    WirePrompt {
        endpoint: sent.endpoint,
        part_ids: sent.prompt.iter().map(|p| p.id).collect(),
        part_tokens: sent.prompt.iter().map(|p| p.tokens).collect(),
    }
}

pub(crate) fn engine_load_to_wire(load: EngineLoad) -> WireLoad {
    let to_millis = |d: &Duration| u32::try_from(d.as_millis()).unwrap_or(u32::MAX);
    WireLoad {
        endpoint: load.endpoint,
        backlog_ms: load.backlog.iter().map(to_millis).collect(),
        in_flight: load.in_flight,
        delay_ms: load.delay.iter().map(to_millis).collect(),
    }
}

/// Converts an announcement. Returns `None` when its address can't be parsed.
///
/// An endpoint that has left may have no address, because it may have left before
/// it was ever announced.
pub(crate) fn announcement_from_wire(update: EndpointUpdate) -> Option<Announcement> {
    let unspecified = SocketAddr::from(([0, 0, 0, 0], 0));
    let address = match update.address.parse() {
        Ok(address) => address,
        Err(_) if update.left => unspecified,
        Err(_) => return None,
    };
    Some(Announcement {
        id: update.id,
        incarnation: update.incarnation,
        seq: update.seq,
        address,
        service: update.pool,
        data_centre: update.data_centre,
        slots: update.slots,
        leaving: update.leaving,
        left: update.left,
        warm_up: Duration::from_millis(update.warm_up_ms),
        age: Duration::from_millis(update.age_ms),
    })
}
