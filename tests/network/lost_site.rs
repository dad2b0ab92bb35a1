//! Tests of the loss and return of a site, under load and with several processes before it.

use crate::harness::{header, read_message, request, run_test};
use crate::processes::{start_daemon, start_stub_site};
use rowanglade_test_fleet::{Daemon, Endpoint, EndpointState, StubSite, StubTarget, TargetFault, TargetPlan};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// Targets 0 and 1 are at one site, 2 to 5 at the other.
const NEAR_TARGETS: std::ops::Range<usize> = 0..2;
const FAR_TARGETS: std::ops::Range<usize> = 2..6;
const INSTANCES: usize = 3;

fn endpoint(target: &StubTarget, index: usize) -> Endpoint {
    let zone = if NEAR_TARGETS.contains(&index) { "kingston" } else { "negril" };
    Endpoint { zone: Some(zone.into()), ..Endpoint::of(target, EndpointState::Active) }
}

/// Two sites, and instances that detect the loss of a site within a window of this many milliseconds.
async fn two_sites(window: u64) -> (StubSite, Vec<Daemon>) {
    let table = format!("[sites]\nwindow_ms = {window}\nhold_ms = 1500\nprobe_every_ms = 100\n");
    let plan = TargetPlan {
        keeps_requests: true,
        initial_capacity: 0.28,
        warm_within: Duration::from_secs(15),
        queue_capacity: 256,
        slots: 4,
        ..TargetPlan::default()
    };
    let site = start_stub_site(&vec![plan; FAR_TARGETS.end]).await;
    for (index, target) in site.targets.iter().enumerate() {
        site.discovery.upsert(endpoint(target, index));
    }
    let daemons = (0..INSTANCES)
        .map(|me| {
            start_daemon(&site, |plan| {
                plan.name = format!("n{me}");
                plan.operator = Some(table.clone());
                plan.settings["azs"] = serde_json::json!(["kingston", "negril"]);
                plan.settings["siblings"] = INSTANCES.into();
                plan.settings["my-number"] = me.into();
            })
        })
        .collect();
    (site, daemons)
}

/// How many responses clients got, by the target's index and by the reason of the rejection or the status.
type ResponseCounts = Rc<RefCell<BTreeMap<(usize, String), usize>>>;

/// Sends requests for objects at one target, one after another, until stopped.
async fn send_requests(
    http: SocketAddr,
    name: String,
    index: usize,
    plan: &'static str,
    stop: Rc<Cell<bool>>,
    counts: ResponseCounts,
) {
    let mut open: Option<TcpStream> = None;
    for i in 0.. {
        if stop.get() {
            return;
        }
        let mut stream = match open.take() {
            Some(stream) => stream,
            None => TcpStream::connect(http).await.expect("connected"),
        };
        let text = request("view", &format!("{name}-{i}"), index as i32, "");
        let text = text.replace("full", plan).replace("hosts=1", "hosts=3");
        stream.write_all(text.as_bytes()).await.expect("written");
        let (head, _) = read_message(&mut stream).await.expect("every request has a response");
        let status = head.split(' ').nth(1).unwrap_or_default().to_string();
        let outcome = match header(&head, "x-refused") {
            Some(reason) => {
                assert!(header(&head, "retry-after").is_some(), "{head}");
                reason
            }
            None => status,
        };
        *counts.borrow_mut().entry((index, outcome)).or_default() += 1;
        open = Some(stream);
        tokio::time::sleep(Duration::from_millis(4)).await;
    }
}

struct Load {
    stop: Rc<Cell<bool>>,
    counts: ResponseCounts,
    clients: Vec<actix_rt::task::JoinHandle<()>>,
}

impl Load {
    fn start(daemons: &[Daemon]) -> Load {
        Load::on_plan(daemons, "full")
    }

    /// Like [`Load::start`], with requests on this plan.
    fn on_plan(daemons: &[Daemon], plan: &'static str) -> Load {
        let (stop, counts) = (Rc::new(Cell::new(false)), ResponseCounts::default());
        let mut clients = Vec::new();
        for (i, daemon) in daemons.iter().enumerate() {
            for index in 0..FAR_TARGETS.end {
                let name = format!("c{i}-{index}");
                let (stop, counts) = (Rc::clone(&stop), Rc::clone(&counts));
                clients.push(actix_rt::spawn(send_requests(daemon.http, name, index, plan, stop, counts)));
            }
        }
        Load { stop, counts, clients }
    }

    /// The number of responses with this outcome to requests for these targets since the last call.
    fn take_count(&self, targets: std::ops::Range<usize>, outcome: &str) -> usize {
        let mut counts = self.counts.borrow_mut();
        targets.filter_map(|index| counts.remove(&(index, outcome.to_string()))).sum()
    }

    async fn end(self) {
        self.stop.set(true);
        for client in self.clients {
            client.await.expect("every request has a response");
        }
    }
}

async fn wait_for_log(daemons: &[Daemon], text: &str) {
    while !daemons.iter().all(|d| d.log().iter().any(|l| l.contains(text))) {
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
}

/// Waits until each target of the far site has received 20 requests.
async fn wait_for_load(site: &StubSite) {
    while FAR_TARGETS.map(|index| site.targets[index].received().len()).any(|arrivals| arrivals < 20) {
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
}

fn received_by_far_targets(site: &StubSite) -> usize {
    FAR_TARGETS.map(|index| site.targets[index].received().len()).sum()
}

const SITE_LOST_REASON: &str = "site negril is lost";

// Guards against load on a lost site: each instance retried each of its targets again and again, and all sent
// their load to it at once on its return.
#[test]
fn a_lost_site_is_ejected_by_all_initiators_and_its_recovery_is_paced_over_all() {
    run_test(async {
        let (site, daemons) = two_sites(600).await;
        let load = Load::start(&daemons);
        wait_for_load(&site).await;
        // The site loses power: connections are reset or refused. Discovery still lists its targets as
        // active.
        let lost_at = Instant::now();
        FAR_TARGETS.for_each(|index| site.targets[index].kill());
        wait_for_log(&daemons, "site lost").await;
        let detected = lost_at.elapsed();
        assert!(detected < Duration::from_secs(3), "detected after {detected:?}");
        load.counts.borrow_mut().clear();
        let before = received_by_far_targets(&site);
        let mut rejected = 0;
        while rejected < 200 {
            tokio::time::sleep(Duration::from_millis(2)).await;
            rejected += load.take_count(FAR_TARGETS, SITE_LOST_REASON);
        }
        assert!(load.take_count(NEAR_TARGETS, "200") > 0, "the other site served nothing");
        assert_eq!(load.take_count(NEAR_TARGETS, SITE_LOST_REASON) + load.take_count(NEAR_TARGETS, "500"), 0);
        assert_eq!(received_by_far_targets(&site), before);
        // The site returns with cold targets, and discovery does not report that either.
        for index in FAR_TARGETS {
            site.targets[index].restart().await.expect("its address is free");
        }
        wait_for_log(&daemons, "site recovery started").await;
        assert!(lost_at.elapsed() >= Duration::from_millis(1_500), "the site is ejected for at least 1.5 s");
        let recovery_started = tokio::time::Instant::now();
        load.counts.borrow_mut().clear();
        while load.take_count(FAR_TARGETS, "200") == 0 {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
        tokio::time::sleep(Duration::from_secs(4)).await;
        // Each target, in any window of 3 s and from all instances together, receives at most what the
        // settings allow a cold target, which grows as it warms up: 51 units at 0.28 of its capacity. Each
        // request takes two units.
        for index in FAR_TARGETS {
            let arrivals: Vec<f64> = (site.targets[index].received().iter())
                .filter(|(at, _)| *at >= recovery_started - Duration::from_secs(1))
                .map(|(at, _)| at.duration_since(recovery_started - Duration::from_secs(1)).as_secs_f64())
                .collect();
            for (i, from) in arrivals.iter().enumerate() {
                let units = 2 * arrivals[i..].iter().filter(|at| **at < from + 3.0).count();
                let power = 0.28 + 0.72 * (from + 3.0) / 15.0;
                let allowed = 51.0 * power / 0.28;
                assert!((units as f64) <= allowed, "box {index}: {units} units in 3 s, {allowed:.0} allowed");
            }
        }
        load.end().await;
    });
}

// Guards against false detection: half of the site's targets are slow but answer, so the site is not ejected.
#[test]
fn a_site_half_of_which_is_slow_is_not_ejected() {
    run_test(async {
        let (site, daemons) = two_sites(600).await;
        let load = Load::start(&daemons);
        wait_for_load(&site).await;
        for index in FAR_TARGETS.take(2) {
            site.targets[index].inject(TargetFault { slowdown: 40.0, ..TargetFault::default() });
        }
        tokio::time::sleep(Duration::from_secs(3)).await;
        assert_eq!(load.take_count(FAR_TARGETS, SITE_LOST_REASON), 0);
        assert!(!daemons.iter().any(|d| d.log().iter().any(|l| l.contains("site lost"))));
        assert!(load.take_count(FAR_TARGETS, "200") > 0);
        load.end().await;
    });
}

// Guards against load on a site that fails and returns repeatedly.
#[test]
fn a_flapping_site_is_ejected_longer_each_time_even_if_an_initiator_dies() {
    run_test(async {
        let (site, mut daemons) = two_sites(600).await;
        let load = Load::start(&daemons[..2]);
        wait_for_load(&site).await;
        // The third instance gets no requests, and is killed between two failures.
        let third = daemons.pop().expect("three daemons run");
        for round in 0..4 {
            let silent = round % 2 == 0;
            FAR_TARGETS.for_each(|index| {
                site.targets[index].inject(TargetFault { silent, ..TargetFault::default() })
            });
            if round == 1 {
                third.signal(rowanglade_test_fleet::Signal::SIGKILL).expect("the process runs");
            }
            tokio::time::sleep(Duration::from_secs(2)).await;
        }
        for daemon in &daemons {
            let log = daemon.log();
            let losses: Vec<&String> = log.iter().filter(|l| l.contains("site lost")).collect();
            assert!((1..=2).contains(&losses.len()), "{losses:#?}");
            assert!(losses[0].contains("hold_ms=1500"), "{losses:#?}");
            assert!(losses.get(1).is_none_or(|l| l.contains("hold_ms=3000")), "{losses:#?}");
        }
        assert!(load.take_count(NEAR_TARGETS, "200") > 0);
        load.end().await;
    });
}

// Guards against exceeding a volume's limit while requests move between sites: clients request far more than
// the limit through three instances, at targets of both sites, while a site is lost and returns.
#[test]
fn the_rate_limit_of_a_volume_holds_across_the_fleet_during_a_sites_loss_and_recovery() {
    const RATE: f64 = 32.0;
    // In units: the debt limit of the test settings, and one request of two units in flight at each instance.
    const DEBT_LIMIT: f64 = 3.2 + 2.0 * INSTANCES as f64;
    run_test(async {
        let started = tokio::time::Instant::now();
        // A longer window, since the limit admits few requests whose failure could be observed.
        let (site, daemons) = two_sites(3_000).await;
        let load = Load::on_plan(&daemons, "basic");
        let wait_for_served = async |load: &Load, count: usize| {
            let mut served = 0;
            while served < count {
                tokio::time::sleep(Duration::from_millis(2)).await;
                served += load.take_count(NEAR_TARGETS, "200");
            }
        };
        wait_for_served(&load, 10).await;
        FAR_TARGETS.for_each(|index| site.targets[index].kill());
        wait_for_log(&daemons, "site lost").await;
        wait_for_served(&load, 20).await;
        for index in FAR_TARGETS {
            site.targets[index].restart().await.expect("its address is free");
        }
        wait_for_log(&daemons, "site recovery started").await;
        wait_for_served(&load, 20).await;
        load.end().await;
        let mut arrivals: Vec<f64> = (site.targets.iter().flat_map(|target| target.received()))
            .map(|(at, _)| at.duration_since(started).as_secs_f64())
            .collect();
        arrivals.sort_by(f64::total_cmp);
        for (i, at) in arrivals.iter().enumerate() {
            let (units, allowed) = (2.0 * (i + 1) as f64, RATE * at + DEBT_LIMIT);
            assert!(units <= allowed, "{units} units by {at:.3} s, {allowed:.1} allowed");
        }
        assert!(
            2.0 * arrivals.len() as f64 >= 0.3 * RATE * arrivals.last().expect("requests arrived"),
            "less than 0.3 of the limit was used"
        );
    });
}
