//! Tests that a packet for one service never reaches a server of another.

use std::time::{Duration, Instant};

use anyhow::{ensure, Context, Result};
use etherparse::PacketBuilder;
use flamingofall::encap::{self, Header, HOP_LIMIT};
use flamingofall::id::{Generation, Service as Name};
use flamingofall::packet;
use flamingofall_standins::caller::{Caller, Flow, Options};
use flamingofall_standins::http;
use flamingofall_standins::protocol::Kind;
use futures::future::join_all;
use hyper::Method;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

#[path = "support/installation.rs"]
mod installation;
#[path = "support/traffic.rs"]
mod traffic;

use installation::{Installation, ServicePlan};
use traffic::{faults, request, run_with_seed, small_plan, DirectServers, PROCESSES};

const TIMEOUT: Duration = Duration::from_secs(20);
/// Time within which an accepted configuration is in force at all balancers and agents.
const ROLLOUT_TIME: Duration = Duration::from_secs(4);
const FLOWS: usize = 20;

struct OpenFlow {
    flow: Flow,
    service: String,
    server: String,
}

async fn open(caller: &Caller, service: &ServicePlan, id: &str) -> Result<OpenFlow> {
    let options = Options {
        timeout: TIMEOUT,
        ..Options::default()
    };
    let flow = caller.connect(service.address, options).await;
    let flow = flow.with_context(|| format!("opening {id}"))?;
    let response = flow
        .request(request(id, Kind::Confirm, 3000, 1), TIMEOUT)
        .await;
    let response = response.with_context(|| format!("{id} from {}", flow.local()))?;
    Ok(OpenFlow {
        flow,
        service: response.service,
        server: response.server,
    })
}

async fn open_all(caller: &Caller, services: &[ServicePlan], step: &str) -> Result<Vec<OpenFlow>> {
    let ids = (0..FLOWS).flat_map(|number| services.iter().map(move |service| (number, service)));
    let opening = ids.map(|(number, service)| async move {
        let id = format!("{step}-{}-{number}", service.name);
        open(caller, service, &id).await
    });
    join_all(opening).await.into_iter().collect()
}

/// Checks that each established flow still reaches the same server.
async fn check_kept(held: &[OpenFlow], step: &str) -> Result<()> {
    for (number, open) in held.iter().enumerate() {
        let request = request(&format!("{step}-kept-{number}"), Kind::Confirm, 3000, 1);
        let response = open.flow.request(request, TIMEOUT).await;
        let response = response.with_context(|| {
            let local = open.flow.local();
            format!("{step}: flow {number} of {} from {local}", open.server)
        })?;
        let OpenFlow {
            server, service, ..
        } = open;
        ensure!(
            response.correct && response.server == *server && response.service == *service,
            "{step}: flow {number} of {server} reached {}",
            response.server
        );
    }
    Ok(())
}

/// Checks that new flows reach the service that now has their address.
fn check_new(opened: &[OpenFlow], services: &[ServicePlan]) -> Result<()> {
    for open in opened {
        let to = open.flow.remote();
        let owner = services.iter().find(|service| service.address == to);
        ensure!(
            owner.is_some_and(|owner| owner.name == open.service),
            "a new flow to {to} reached {}",
            open.server
        );
    }
    Ok(())
}

/// Guards against established flows that reach another service after their address has moved there,
/// and against new flows that still reach the former one.
#[tokio::test(flavor = "multi_thread")]
async fn address_moves() -> Result<()> {
    run_with_seed("address_moves", 21, |seed| move_addresses(seed, false)).await
}

/// Guards against misdelivery by a balancer with an old configuration: one is frozen during the
/// change and gets packets before it can receive the new configuration.
#[tokio::test(flavor = "multi_thread")]
async fn stale_balancer() -> Result<()> {
    run_with_seed("stale_balancer", 26, |seed| move_addresses(seed, true)).await
}

async fn move_addresses(seed: u64, freeze: bool) -> Result<()> {
    let mut plan = small_plan(seed);
    plan.shared_addresses = true;
    let mut installation = Installation::start_in_mode(plan, PROCESSES).await?;
    installation.fabric.set_faults(faults());
    let before = installation.plan.services.clone();
    let caller = installation.caller();
    let held = open_all(&caller, &before, "before").await?;
    check_new(&held, &before)?;

    let frozen = installation.balancers[0].data;
    if freeze {
        installation.fabric.remove_balancer(frozen);
        installation.balancers[0].process()?.freeze()?;
    }
    let mut after = before.clone();
    after[0].address = before[1].address;
    after[1].address = before[0].address;
    installation.plan.services = after.clone();
    installation.apply(&installation.plan.config()).await?;
    let accepted = Instant::now();
    let mut number = 0;
    while accepted.elapsed() < ROLLOUT_TIME {
        // During the rollout a new flow may reach either service, but it must stay with that one.
        number += 1;
        let opened = open(&caller, &after[number % 2], &format!("moving-{number}")).await;
        let Ok(opened) = opened else {
            continue; // The test `opened_in_move` checks that such flows aren't lost.
        };
        let request = request(&format!("moved-{number}"), Kind::Confirm, 3000, 1);
        if let Ok(response) = opened.flow.request(request, TIMEOUT).await {
            let service = opened.service;
            ensure!(response.service == service, "a flow of {service} moved");
        }
    }
    check_new(&open_all(&caller, &after, "after").await?, &after)?;
    check_kept(&held, "after").await?;
    if !freeze {
        return Ok(());
    }
    for balancer in &installation.balancers[1..] {
        installation.fabric.remove_balancer(balancer.data);
    }
    installation.fabric.add_balancer(frozen);
    let opening = open_all(&caller, &after, "stale");
    let thawing = async {
        // The SYNs wait in the frozen balancer's queue; it routes them by its old table.
        tokio::time::sleep(Duration::from_millis(500)).await;
        anyhow::Ok(installation.balancers[0].process()?.thaw()?)
    };
    let (opened, thawed) = tokio::join!(opening, thawing);
    thawed?;
    check_new(&opened?, &after)?;
    for balancer in &installation.balancers[1..] {
        installation.fabric.add_balancer(balancer.data);
    }
    check_kept(&held, "stale").await
}

/// Guards against the loss of flows that are opened while only some balancers have the new
/// configuration.
#[tokio::test(flavor = "multi_thread")]
async fn opened_in_move() -> Result<()> {
    run_with_seed("opened_in_move", 25, |seed| async move {
        let mut plan = small_plan(seed);
        plan.shared_addresses = true;
        let mut installation = Installation::start_in_mode(plan, PROCESSES).await?;
        let caller = installation.caller();
        installation.plan.services.reverse();
        let [first, second] = &mut installation.plan.services[..] else {
            unreachable!("the plan has two services")
        };
        std::mem::swap(&mut first.address, &mut second.address);
        let services = installation.plan.services.clone();
        installation.apply(&installation.plan.config()).await?;
        let accepted = Instant::now();
        let mut number = 0;
        while accepted.elapsed() < ROLLOUT_TIME {
            number += 1;
            let opened = open_all(&caller, &services, &format!("moving-{number}")).await?;
            check_kept(&opened, &format!("moving-{number}")).await?;
        }
        Ok(())
    })
    .await
}

/// Guards against a host that gets packets of its former service: an agent and its server are
/// replaced by those of another service at the same addresses while flows are open.
#[tokio::test(flavor = "multi_thread")]
async fn host_reused() -> Result<()> {
    run_with_seed("host_reused", 22, |seed| reuse(seed, Some("reused"))).await
}

/// Guards against blocked flows of the former service when a member joins another service under the
/// same name.
#[tokio::test(flavor = "multi_thread")]
async fn member_reused() -> Result<()> {
    run_with_seed("member_reused", 27, |seed| reuse(seed, None)).await
}

async fn reuse(seed: u64, name: Option<&str>) -> Result<()> {
    let mut plan = small_plan(seed);
    plan.shared_addresses = true;
    let mut installation = Installation::start_in_mode(plan, PROCESSES).await?;
    installation.fabric.set_faults(faults());
    let services = installation.plan.services.clone();
    let caller = installation.caller();
    let mut held = open_all(&caller, &services, "before").await?;
    let ended = installation.nodes[0].agent.name.clone();
    let name = name.unwrap_or(&ended);
    installation.replace_node(0, &services[1], name).await?;
    held.retain(|open| open.server != ended);
    let opened = open_all(&caller, &services, "replaced").await?;
    check_new(&opened, &services)?;
    installation::wait_until_ready(&installation.nodes[0].agent).await?;
    let opened = open_all(&caller, &services, "ready").await?;
    check_new(&opened, &services)?;
    check_kept(&opened, "ready").await?;
    check_kept(&held, "after").await
}

/// Reads the number of rejected packets from an agent's metrics.
async fn rejected(http: std::net::SocketAddr) -> Result<u64> {
    let url = format!("http://{http}/metrics");
    let page = http::call(Method::GET, &url, "", TIMEOUT).await?.body;
    let page = String::from_utf8_lossy(page.as_ref()).into_owned();
    let line = page
        .lines()
        .find(|line| line.contains("packets") && line.contains("rejected"));
    let value = line.and_then(|line| line.rsplit(' ').next());
    Ok(value.unwrap_or_default().parse()?)
}

/// Guards against packets that were forged or corrupted on the way to an agent. More than 100 of
/// them are well-formed, so only the check of the tag rejects them.
#[tokio::test(flavor = "multi_thread")]
async fn forged_packets() -> Result<()> {
    run_with_seed("forged_packets", 23, |seed| async move {
        let installation = Installation::start(small_plan(seed)).await?;
        let service = &installation.plan.services[0];
        let node = &installation.nodes[0];
        let std::net::IpAddr::V4(to) = service.address.ip() else {
            unreachable!("the plan uses IPv4")
        };
        let mut inner = Vec::new();
        let ip = PacketBuilder::ipv4([203, 0, 113, 9], to.octets(), 64);
        ip.udp(5000, service.address.port())
            .write(&mut inner, b"order")?;
        let flow = packet::parse(&inner).map_err(|_| anyhow::anyhow!("not parsed"))?;
        let header = Header {
            service: service.name.parse::<Name>()?.tag(),
            generation: Generation(1),
            hop_limit: HOP_LIMIT,
            assigned: true,
            fallback: None,
        };
        let sealed = |key| {
            let mut bytes = Vec::new();
            header.write(key, &flow.flow, &mut bytes);
            bytes
        };
        let valid = [sealed(installation.key.encap()), inner.clone()].concat();
        let start = valid.len() - inner.len();
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut forged = vec![[sealed(encap::Key::new([99; 16])), inner.clone()].concat()];
        // The tag covers the header, the addresses and the ports.
        let covered: Vec<usize> = (0..start).chain(start + 12..start + 24).collect();
        for _ in 0..200 {
            let mut bytes = valid.clone();
            let place = covered[rng.random_range(0..covered.len())];
            bytes[place] ^= 1 << rng.random_range(0..8);
            forged.push(bytes);
        }
        for _ in 0..50 {
            forged.push(valid[..rng.random_range(1..start + 24)].to_vec());
        }
        let well_formed = forged
            .iter()
            .filter(|bytes| {
                let inner = Header::read(bytes).map(|sealed| packet::parse(sealed.inner).is_ok());
                inner == Ok(true)
            })
            .count();
        ensure!(
            well_formed > 100,
            "only {well_formed} forged packets are well-formed"
        );

        let before = rejected(node.agent.http).await?;
        let packets = node.server.counts().packets;
        let socket = tokio::net::UdpSocket::bind("127.0.0.1:0").await?;
        for bytes in &forged {
            socket.send_to(bytes, node.agent.data).await?;
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        let deadline = Instant::now() + TIMEOUT;
        let mut counted = 0;
        while counted < forged.len() as u64 && Instant::now() < deadline {
            counted = rejected(node.agent.http).await? - before;
        }
        ensure!(
            counted == forged.len() as u64,
            "{counted} of {} forged packets were counted as rejected",
            forged.len()
        );
        ensure!(
            node.server.counts().packets == packets,
            "the server received a forged packet"
        );
        // The unchanged packet is accepted, so the others were rejected because of the changes.
        socket.send_to(&valid, node.agent.data).await?;
        installation::eventually("the valid packet arrives", || {
            node.server.counts().packets > packets
        })
        .await
    })
    .await
}

/// Control without balancers and agents: the fabric distributes packets over the servers of all
/// services, so some must reach the wrong service.
#[tokio::test(flavor = "multi_thread")]
async fn naive_fails() -> Result<()> {
    let services = small_plan(24).services;
    let direct = DirectServers::start(24, &services).await?;
    let caller = direct.caller(1);
    let _ = tokio::time::timeout(
        Duration::from_secs(2),
        open_all(&caller, &services, "naive"),
    )
    .await;
    ensure!(direct.misdelivered_packets() > 0, "no violation found");
    Ok(())
}
