//! Messages of control and peers in the dispatcher's terms, and back.

use std::net::SocketAddr;

use anvilloft_dispatch::Announcement;
use anvilloft_dispatch::EngineLoad;
use anvilloft_dispatch::PromptPart;
use anvilloft_dispatch::SentPrompt;
use anvilloft_types::prelude::*;
use anvilloft_wire::frame::EndpointUpdate;
use anvilloft_wire::frame::EngineLoad as WireLoad;
use anvilloft_wire::frame::SentPrompt as WireRead;

pub(crate) fn work(wire: WireLoad) -> EngineLoad {
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

pub(crate) fn read(wire: WireRead) -> SentPrompt {
    let parts = wire.part_ids.into_iter().zip(wire.part_tokens);
    SentPrompt {
        endpoint: wire.endpoint,
        prompt: parts
            .map(|(id, tokens)| PromptPart { id, tokens })
            .collect(),
    }
}

pub(crate) fn wire_read(read: SentPrompt) -> WireRead {
    WireRead {
        endpoint: read.endpoint,
        part_ids: read.prompt.iter().map(|p| p.id).collect(),
        part_tokens: read.prompt.iter().map(|p| p.tokens).collect(),
    }
}

pub(crate) fn wire_work(work: EngineLoad) -> WireLoad {
    let millis = |d: &Duration| u32::try_from(d.as_millis()).unwrap_or(u32::MAX);
    WireLoad {
        endpoint: work.endpoint,
        backlog_ms: work.backlog.iter().map(millis).collect(),
        in_flight: work.in_flight,
        delay_ms: work.delay.iter().map(millis).collect(),
    }
}

/// Returns an announcement in the dispatcher's terms. An endpoint that leaves
/// may have been heard of by nobody, so its address may be missing.
pub(crate) fn announcement(update: EndpointUpdate) -> Option<Announcement> {
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
