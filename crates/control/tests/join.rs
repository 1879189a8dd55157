//! Control members that form and repair their group without an operator.

#![expect(clippy::unwrap_used, reason = "a failed set-up fails the test")]

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;
use std::time::Instant;

use anvilloft_control::ControlDaemon;
use anvilloft_fakes::free_address;
use anvilloft_settings::ControlSettings;
use anvilloft_settings::GroupStart;
use anvilloft_settings::Secret;
use anvilloft_telemetry::Metrics;
use anvilloft_wire::Control;
use anvilloft_wire::command::Body;
use anvilloft_wire::command::Publish;
use slog::Discard;
use slog::Logger;
use slog::o;

async fn start(
    name: &str,
    folder: &Path,
    peer: SocketAddr,
    seeds: &[SocketAddr],
    group: GroupStart,
) -> ControlDaemon {
    let settings = ControlSettings::builder()
        .name(name)
        .data_centre("a")
        .data_folder(folder.join(name))
        .peer_listen(peer)
        .admin_listen(free_address())
        .group(group)
        .auto_join(true)
        .peers(seeds)
        .fleet_key(Secret::new([7; 32]))
        .build()
        .unwrap();
    let log = Logger::root(Discard, o!());
    ControlDaemon::start(settings, Metrics::new().unwrap(), log)
        .await
        .unwrap()
}

/// Returns the voters in a member's view of the group.
fn voters(daemon: &ControlDaemon) -> Vec<u64> {
    let status = daemon.handle().status();
    let status = status.borrow();
    status.membership.voters().collect()
}

async fn wait_until(what: &str, condition: impl Fn() -> bool) {
    for _ in 0..3_000 {
        if condition() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("not in time: {what}");
}

/// Guards against a group that needs an operator to form, and against a lost
/// member that stays a voter after an empty member at another address has
/// replaced it, so that the next failure would cost the majority.
#[tokio::test(flavor = "multi_thread")]
async fn members_join_and_replace_a_lost_one() {
    let folder = tempfile::tempdir().unwrap();
    let seeds: Vec<SocketAddr> = (0..3).map(|_| free_address()).collect();
    let founder = start("c0", folder.path(), seeds[0], &seeds, GroupStart::New);
    let second = start("c1", folder.path(), seeds[1], &seeds, GroupStart::Join);
    let third = start("c2", folder.path(), seeds[2], &seeds, GroupStart::Join);
    let (founder, second, third) = tokio::join!(founder, second, third);
    wait_until("three voters", || voters(&founder).len() == 3).await;
    let publish = Publish {
        version: 4,
        source: b"table".to_vec(),
        prepaid: Vec::new(),
    };
    let limit = Duration::from_secs(5);
    founder
        .peers()
        .call(Body::Publish(publish).into(), limit)
        .await
        .unwrap();
    let lost = second.member_id();
    second.kill().await.unwrap();
    let replacement = start(
        "c3",
        folder.path(),
        free_address(),
        &seeds,
        GroupStart::Join,
    )
    .await;
    let replaced = || {
        let voters = voters(&founder);
        voters.len() == 3 && voters.contains(&replacement.member_id()) && !voters.contains(&lost)
    };
    wait_until("the empty member replaces the lost one", replaced).await;
    let publication = || replacement.handle().status().borrow().publication_version;
    wait_until("the empty member receives the state", || publication() == 4).await;
    for daemon in [founder, third, replacement] {
        daemon.kill().await.unwrap();
    }
}

/// Guards against a new member that waits for a second for each peer that has no group
/// itself, while another peer could have added it at once.
#[tokio::test(flavor = "multi_thread")]
async fn a_member_joins_soon_although_most_of_its_peers_have_no_group() {
    let folder = tempfile::tempdir().unwrap();
    let founder_address = free_address();
    let founder = start("c0", folder.path(), founder_address, &[], GroupStart::New).await;
    wait_until("a leader", || founder.handle().status().borrow().is_leader).await;
    let mut groupless = Vec::new();
    let mut seeds = vec![founder_address];
    for n in 1..=4 {
        let address = free_address();
        seeds.push(address);
        let name = format!("c{n}");
        groupless.push(start(&name, folder.path(), address, &[], GroupStart::Join).await);
    }
    let joiner = start(
        "joiner",
        folder.path(),
        free_address(),
        &seeds,
        GroupStart::Join,
    )
    .await;
    let started = Instant::now();
    let id = joiner.member_id();
    let is_added = || {
        let status = founder.handle().status();
        let status = status.borrow();
        status.membership.get(id).is_some()
    };
    wait_until("the member is added", is_added).await;
    let took = started.elapsed();
    assert!(took < Duration::from_millis(1_500), "{took:?}");
    for daemon in [founder, joiner].into_iter().chain(groupless) {
        daemon.kill().await.unwrap();
    }
}
