//! Loss of a whole site under load, and its return.

use crate::experiment::{Experiment, Runner};
use crate::failure::Failure;
use crate::initiators::{self, ZONE};
use crate::outcome::Outcome;
use crate::runtime::block_on;
use crate::traces::{self, Traffic};
use rowanglade_replay::Replay;
use rowanglade_test_fleet::{Endpoint, EndpointState, StubSite, StubTarget, TargetFault, TargetPlan};
use std::path::Path;
use std::time::Duration;
use tokio::time::Instant;

pub fn experiments() -> Vec<Experiment> {
    let about = "a site of four targets stops responding under load and returns cold: per-target detection against [sites]";
    vec![Experiment { name: "site-loss", about, runner: Runner::Plain(site_loss) }]
}

const SEED: u64 = 11;
const RATE: f64 = 600.0;
const SECONDS: f64 = 22.0;
/// Seconds after the first request at which the site stops responding and at which it is back.
const LOST_AT: f64 = 4.0;
const RETURNED_AT: f64 = 9.0;
/// Seconds after the loss by which initiators should have detected it.
const DETECTION_TIME: f64 = 1.5;
const LOST_SITE: std::ops::Range<usize> = 2..6;
const INITIATORS: usize = 3;
const VOLUMES: u64 = 60;
/// Values of [`settings`](rowanglade_test_fleet::settings), except for the warm-up time, which the experiment
/// sets: the units that a cold target can serve within one window of three seconds, its capacity right after
/// a start relative to a warm target, the multiple of its capacity that overloads it, and the units per
/// second that are reserved for a volume on the QoS plan `full`.
const SLOW_START_UNITS: f64 = 51.0;
const SLOW_START_CAPACITY: f64 = 0.28;
const WARM_UP_SECONDS: f64 = 10.0;
const WINDOW_SECONDS: f64 = 3.0;
const OVERLOAD_MULTIPLE: f64 = 2.5;
const RESERVED_UNITS: f64 = 4.0;

fn entry(target: &StubTarget, index: usize) -> Endpoint {
    let zone = if LOST_SITE.contains(&index) { "negril" } else { ZONE };
    Endpoint { zone: Some(zone.into()), ..Endpoint::of(target, EndpointState::Active) }
}

/// Units that a target that returned at 0 may receive in the window that begins at `from` without violating
/// the slow-start rule.
fn max_cold_units(from: f64) -> f64 {
    let capacity = SLOW_START_CAPACITY
        + (1.0 - SLOW_START_CAPACITY) * ((from + WINDOW_SECONDS) / WARM_UP_SECONDS).min(1.0);
    let reserves = RESERVED_UNITS * VOLUMES as f64 / LOST_SITE.end as f64;
    SLOW_START_UNITS * capacity / SLOW_START_CAPACITY
        + WINDOW_SECONDS * reserves * (OVERLOAD_MULTIPLE * capacity).min(1.0)
}

struct RoundResult {
    served: Vec<(f64, f64)>,
    lost_site: Vec<(f64, f64)>,
    other_site: Vec<(f64, f64)>,
    refused: f64,
    failed: f64,
    without_response: f64,
    due: f64,
    /// Requests that targets of the lost site received while it was lost, after the loss should have been
    /// detected.
    sent_while_lost: f64,
    /// Seconds from the return until a second in which at least nine of ten requests were served.
    recovered_after: f64,
    /// Most units that a returned target received in a window, relative to what the slow-start rule allows.
    worst_cold_load: f64,
    /// Most requests that the remaining targets received in one second, relative to the most before the loss.
    survivor_peak: f64,
}

async fn run_round(trace: &Path, with_site_failover: bool) -> Result<RoundResult, Failure> {
    let plan = TargetPlan {
        keeps_requests: true,
        initial_capacity: SLOW_START_CAPACITY,
        warm_within: Duration::from_secs_f64(WARM_UP_SECONDS),
        queue_capacity: 512,
        slots: 4,
        ..initiators::target_plan(4, 6, 8)
    };
    let site = StubSite::start(&vec![plan; LOST_SITE.end], ZONE, SEED).await?;
    for (index, target) in site.targets.iter().enumerate() {
        site.discovery.upsert(entry(target, index));
    }
    let daemons =
        initiators::start_daemons_with(&site, &traces::standard_header(), INITIATORS, |_, start| {
            start.settings["azs"] = serde_json::json!([ZONE, "negril"]);
            start.settings["rules"]["warm-within"] = ((WARM_UP_SECONDS * 1e6) as u64).into();
            start.operator = with_site_failover.then(|| "[sites]\nhold_ms = 3000\n".to_string());
        })?;
    let targets = site.targets.clone();
    let faults = async move {
        // The clock of the experiment starts at the first request.
        while targets.iter().all(|target| target.counters().received == 0) {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        let started_at = Instant::now();
        tokio::time::sleep_until(started_at + Duration::from_secs_f64(LOST_AT)).await;
        LOST_SITE
            .for_each(|index| targets[index].inject(TargetFault { silent: true, ..TargetFault::default() }));
        tokio::time::sleep_until(started_at + Duration::from_secs_f64(RETURNED_AT)).await;
        // The targets' processes were restarted; the endpoint list does not show it.
        for index in LOST_SITE {
            targets[index].inject(TargetFault::default());
            targets[index].restart().await?;
        }
        Ok::<_, Failure>(started_at)
    };
    let replay_plan = Replay { retries: false, ..Replay::to(initiators::addresses(&daemons)) };
    let (report, started_at) = tokio::join!(traces::replay_all(trace, &replay_plan), faults);
    let (report, started_at) = (report?, started_at?);

    let arrival_times = |places: std::ops::Range<usize>| -> Vec<Vec<f64>> {
        let times = |b: &StubTarget| {
            b.received()
                .iter()
                .map(|(at, _)| at.duration_since(started_at).as_secs_f64())
                .collect::<Vec<f64>>()
        };
        places.map(|index| times(&site.targets[index])).collect()
    };
    let per_second = |all: &[Vec<f64>]| -> Vec<(f64, f64)> {
        let count = |s: usize| all.iter().flatten().filter(|at| **at as usize == s).count();
        (0..SECONDS as usize).map(|s| (s as f64, count(s) as f64)).collect()
    };
    let (other_site, lost_site) = (arrival_times(0..LOST_SITE.start), arrival_times(LOST_SITE));
    let mut worst_cold_load = 0.0f64;
    for at in &lost_site {
        let after_return: Vec<f64> = at.iter().map(|at| at - RETURNED_AT).filter(|at| *at >= 0.0).collect();
        for (i, from) in after_return.iter().enumerate() {
            let units = after_return[i..].iter().filter(|at| **at < from + WINDOW_SECONDS).count();
            worst_cold_load = worst_cold_load.max(units as f64 / max_cold_units(*from));
        }
    }
    let served: Vec<(f64, f64)> = (report.timeline.iter().enumerate())
        .map(|(s, second)| (s as f64, second.served as f64 / second.due.max(1) as f64))
        .collect();
    let recovered_at =
        served.iter().find(|(s, part)| *s >= RETURNED_AT && *part >= 0.9).map_or(f64::INFINITY, |(s, _)| *s);
    let other_site = per_second(&other_site);
    let peak = |from: f64, until: f64| {
        other_site.iter().filter(|(s, _)| (from..until).contains(s)).map(|(_, n)| *n).fold(0.0, f64::max)
    };
    let total = report.total();
    Ok(RoundResult {
        sent_while_lost: lost_site
            .iter()
            .flatten()
            .filter(|at| (LOST_AT + DETECTION_TIME..RETURNED_AT).contains(*at))
            .count() as f64,
        lost_site: per_second(&lost_site),
        survivor_peak: peak(LOST_AT, RETURNED_AT) / peak(1.0, LOST_AT).max(1.0),
        other_site,
        refused: total.refused as f64,
        failed: total.failed as f64,
        without_response: (total.lost + total.unsent) as f64,
        due: total.due as f64,
        recovered_after: recovered_at - RETURNED_AT,
        worst_cold_load,
        served,
    })
}

fn site_loss() -> Result<Outcome, Failure> {
    block_on(async {
        let folder = tempfile::tempdir()?;
        let trace = folder.path().join("made.trace");
        let traffic = Traffic {
            rate: RATE,
            seconds: SECONDS,
            volumes: VOLUMES,
            shards: LOST_SITE.end as u32,
            hosts: INITIATORS as u32,
            seed: SEED,
        };
        traces::generate(&trace, traffic)?;
        let mut out = Outcome::default();
        let mut rounds = Vec::new();
        for (with_site_failover, name) in [(false, "each box by itself"), (true, "[sites]")] {
            let round = run_round(&trace, with_site_failover).await?;
            out.figure(format!("{name}: requests"), round.due, "");
            out.figure(format!("{name}: refused"), round.refused, "");
            out.figure(format!("{name}: failed"), round.failed, "");
            out.figure(format!("{name}: without a last word"), round.without_response, "");
            out.figure(
                format!("{name}: sent to the lost site, once it could be noticed"),
                round.sent_while_lost,
                "",
            );
            out.figure(format!("{name}: until nine of ten are served again"), round.recovered_after, "s");
            out.figure(format!("{name}: of what a cold box bears, at worst"), round.worst_cold_load, "");
            out.figure(
                format!("{name}: a second's most at survivors, of the most before"),
                round.survivor_peak,
                "",
            );
            out.plot(
                format!("{name}: requests a second at boxes"),
                vec![("the lost site", round.lost_site.clone()), ("the other", round.other_site.clone())],
            );
            out.plot(format!("{name}: part served, by second"), vec![("served", round.served.clone())]);
            rounds.push(round);
        }
        let [per_target, with_site_failover] = rounds.as_slice() else {
            return Err(Failure::Unexpected("expected the results of two rounds"));
        };
        out.claim(
            "every request received a final response",
            per_target.without_response + with_site_failover.without_response == 0.0,
        );
        out.claim(
            "with [sites] a lost site receives at most a tenth of the requests that it receives without",
            with_site_failover.sent_while_lost * 10.0 <= per_target.sent_while_lost,
        );
        out.claim(
            "with [sites] the returned targets receive no more than cold targets can serve",
            with_site_failover.worst_cold_load <= 1.0,
        );
        out.claim(
            "with per-target detection the returned targets receive more than cold targets can serve",
            per_target.worst_cold_load > 1.0,
        );
        out.claim(
            "with [sites] the loss raises the peak load on the remaining targets by at most a quarter",
            with_site_failover.survivor_peak <= 1.25,
        );
        out.claim(
            "with [sites] nine of ten requests are served again after the return",
            with_site_failover.recovered_after.is_finite(),
        );
        Ok(out)
    })
}
