//! Announcements of endpoints, and frames from peers and control.

use std::time::Duration;

use anvilloft_directory::Change;
use anvilloft_routing::EndpointState;
use anvilloft_routing::Load;
use anvilloft_routing::ServedModel;
use anvilloft_wire::frame::EndpointUpdate;
use anvilloft_wire::frame::Payload;
use anvilloft_wire::peers::PeerFrame;

use super::Core;

/// Assumed one-way latency to another data centre of the region.
const OTHER_DATA_CENTRE_LATENCY: Duration = Duration::from_millis(1);
/// Number of lanes above which idle ones are removed.
const MAX_LANES: usize = 1024;

impl Core {
    pub(crate) fn on_frame(&mut self, now: Duration, frame: PeerFrame) {
        match frame.payload {
            Payload::EndpointUpdate(update) => {
                // Without a recent round-trip measurement, the age of the
                // announcement is unknown and the lease could last too long.
                if let Some(transit) = frame.transit {
                    let age = Duration::from_millis(update.age_ms) + transit;
                    self.on_announce(now, update, age, false).ok();
                }
            }
            Payload::Recall(budget) => self.on_recall(now, budget),
            Payload::ConfigPush(revision) if revision > self.config.revision() => {
                self.renew_at = now;
                self.tick_lease(now);
            }
            Payload::SettlementCopy(copy) => self.copies.insert(copy),
            Payload::Struck(fingerprint) => self.on_peer_strike(now, &fingerprint),
            _ => {}
        }
    }

    /// Handles an announcement. One that came from the endpoint itself is relayed
    /// to the other routers that use the endpoint.
    pub(crate) fn on_announce(
        &mut self,
        now: Duration,
        update: EndpointUpdate,
        age: Duration,
        from_endpoint: bool,
    ) -> Result<(), String> {
        let (id, incarnation) = (update.id.clone(), update.incarnation);
        let change = self
            .endpoints
            .announce(now, update.clone(), age)
            .map_err(|e| e.to_string())?;
        if from_endpoint {
            for router in self.routers.endpoint_routers(&id) {
                if router.router != self.id.router {
                    let mut relayed = update.clone();
                    relayed.age_ms = 0;
                    self.peers
                        .send(&router.router, Payload::EndpointUpdate(relayed));
                }
            }
        }
        match change {
            Change::Stale => return Ok(()),
            Change::Restarted { old } => {
                slog::info!(self.log, "endpoint restarted"; "endpoint" => &id,
                    "old" => old, "new" => incarnation);
            }
            Change::Added => {
                slog::info!(self.log, "endpoint added"; "endpoint" => &id,
                    "incarnation" => incarnation);
            }
            Change::Renewed => {}
        }
        if let Some(entry) = self.endpoints.get(&id) {
            let state = self.endpoint_state(&entry.update, entry.expires, entry.announced_at);
            self.selector.update(now, &state);
        }
        self.capacity_dirty = true;
        if change == Change::Added {
            self.publish();
        }
        self.endpoint_alive(now, &id, incarnation);
        Ok(())
    }

    fn endpoint_state(
        &self,
        update: &EndpointUpdate,
        expires: Duration,
        load_measured_at: Duration,
    ) -> EndpointState {
        let latency = if update.data_centre == self.id.data_centre {
            Duration::ZERO
        } else {
            OTHER_DATA_CENTRE_LATENCY
        };
        EndpointState {
            id: update.id.clone(),
            incarnation: update.incarnation,
            seq: update.seq,
            models: update
                .models
                .iter()
                .map(|m| ServedModel {
                    model: m.name.clone(),
                    version: m.version.clone(),
                    adapters: m.adapters.clone(),
                })
                .collect(),
            service: if update.service {
                update.pool.clone()
            } else {
                String::new()
            },
            slots: update.slots,
            leaving: update.leaving,
            one_way_latency: latency,
            lease_expires: expires,
            load_measured_at,
            load: update.load.as_ref().map(|l| Load {
                running: l.running,
                waiting: l.waiting,
                kv_used: l.kv_used,
                tokens_per_s: l.tokens_per_s,
            }),
            prefixes: update.prefixes.clone(),
        }
    }

    pub(crate) fn tick_endpoints(&mut self, now: Duration) {
        for entry in self.endpoints.expire(now) {
            slog::info!(self.log, "endpoint lease expired"; "endpoint" => &entry.update.id);
            self.selector.remove(&entry.update.id);
            self.capacity_dirty = true;
            self.endpoint_lost(now, &entry.update.id, entry.update.incarnation);
        }
        if self.lanes.len() > MAX_LANES {
            self.lanes
                .retain(|_, lane| lane.admission.counts() != (0, 0));
        }
    }
}
