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
    vec![Experiment { name: "site-loss", about, runner: Runner::Plain(loss) }]
}

const SEED: u64 = 11;
const RATE: f64 = 600.0;
const SECONDS: f64 = 22.0;
/// Seconds after the first request at which the site stops responding and at which it is back.
const GONE: f64 = 4.0;
const BACK: f64 = 9.0;
/// Seconds after the loss by which initiators should have detected it.
const NOTICED: f64 = 1.5;
const FAR: std::ops::Range<usize> = 2..6;
const INSTANCES: usize = 3;
const VOLUMES: u64 = 60;
/// Values of [`settings`](rowanglade_test_fleet::settings), except for the warm-up time, which the experiment
/// sets: the units that a cold target can serve within one window of three seconds, its capacity right after
/// a start relative to a warm target, the multiple of its capacity that overloads it, and the units per
/// second that are reserved for a volume on the QoS plan `full`.
const COLD_UNITS: f64 = 51.0;
const COLD_FROM: f64 = 0.28;
const WARM_WITHIN: f64 = 10.0;
const WINDOW: f64 = 3.0;
const MULTIPLE: f64 = 2.5;
const RESERVE: f64 = 4.0;

fn entry(each: &StubTarget, place: usize) -> Endpoint {
    let zone = if FAR.contains(&place) { "negril" } else { ZONE };
    Endpoint { zone: Some(zone.into()), ..Endpoint::of(each, EndpointState::Active) }
}

/// Units that a target that returned at 0 may receive in the window that begins at `from` without violating
/// the slow-start rule.
fn bears(from: f64) -> f64 {
    let power = COLD_FROM + (1.0 - COLD_FROM) * ((from + WINDOW) / WARM_WITHIN).min(1.0);
    let reserves = RESERVE * VOLUMES as f64 / FAR.end as f64;
    COLD_UNITS * power / COLD_FROM + WINDOW * reserves * (MULTIPLE * power).min(1.0)
}

struct Round {
    served: Vec<(f64, f64)>,
    far: Vec<(f64, f64)>,
    near: Vec<(f64, f64)>,
    refused: f64,
    failed: f64,
    wordless: f64,
    due: f64,
    /// Requests that targets of the lost site received while it was lost, after the loss should have been
    /// detected.
    in_vain: f64,
    /// Seconds from the return until a second in which at least nine of ten requests were served.
    full_after: f64,
    /// Most units that a returned target received in a window, relative to what the slow-start rule allows.
    worst: f64,
    /// Most requests that the remaining targets received in one second, relative to the most before the loss.
    survivors: f64,
}

async fn round(trace: &Path, judged: bool) -> Result<Round, Failure> {
    let plan = TargetPlan {
        keeps_requests: true,
        initial_capacity: COLD_FROM,
        warm_within: Duration::from_secs_f64(WARM_WITHIN),
        queue_capacity: 512,
        slots: 4,
        ..initiators::target_plan(4, 6, 8)
    };
    let site = StubSite::start(&vec![plan; FAR.end], ZONE, SEED).await?;
    for (place, each) in site.targets.iter().enumerate() {
        site.discovery.upsert(entry(each, place));
    }
    let daemons =
        initiators::start_daemons_with(&site, &traces::standard_header(), INSTANCES, |_, start| {
            start.settings["azs"] = serde_json::json!([ZONE, "negril"]);
            start.settings["rules"]["warm-within"] = ((WARM_WITHIN * 1e6) as u64).into();
            start.operator = judged.then(|| "[sites]\nhold_ms = 3000\n".to_string());
        })?;
    let boxes = site.targets.clone();
    let faults = async move {
        // The clock of the experiment starts at the first request.
        while boxes.iter().all(|b| b.counters().received == 0) {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        let begun = Instant::now();
        tokio::time::sleep_until(begun + Duration::from_secs_f64(GONE)).await;
        FAR.for_each(|place| boxes[place].inject(TargetFault { silent: true, ..TargetFault::default() }));
        tokio::time::sleep_until(begun + Duration::from_secs_f64(BACK)).await;
        // The targets' processes were restarted; the endpoint list does not show it.
        for place in FAR {
            boxes[place].inject(TargetFault::default());
            boxes[place].restart().await?;
        }
        Ok::<_, Failure>(begun)
    };
    let ask = Replay { retries: false, ..Replay::to(initiators::addresses(&daemons)) };
    let (report, begun) = tokio::join!(traces::replay_all(trace, &ask), faults);
    let (report, begun) = (report?, begun?);

    let seen = |places: std::ops::Range<usize>| -> Vec<Vec<f64>> {
        let times = |b: &StubTarget| {
            b.received().iter().map(|(at, _)| at.duration_since(begun).as_secs_f64()).collect::<Vec<f64>>()
        };
        places.map(|place| times(&site.targets[place])).collect()
    };
    let per_second = |all: &[Vec<f64>]| -> Vec<(f64, f64)> {
        let count = |s: usize| all.iter().flatten().filter(|at| **at as usize == s).count();
        (0..SECONDS as usize).map(|s| (s as f64, count(s) as f64)).collect()
    };
    let (near, far) = (seen(0..FAR.start), seen(FAR));
    let mut worst = 0.0f64;
    for at in &far {
        let back: Vec<f64> = at.iter().map(|at| at - BACK).filter(|at| *at >= 0.0).collect();
        for (i, from) in back.iter().enumerate() {
            let units = back[i..].iter().filter(|at| **at < from + WINDOW).count();
            worst = worst.max(units as f64 / bears(*from));
        }
    }
    let served: Vec<(f64, f64)> = (report.timeline.iter().enumerate())
        .map(|(s, second)| (s as f64, second.served as f64 / second.due.max(1) as f64))
        .collect();
    let full = served.iter().find(|(s, part)| *s >= BACK && *part >= 0.9).map_or(f64::INFINITY, |(s, _)| *s);
    let near = per_second(&near);
    let peak = |from: f64, until: f64| {
        near.iter().filter(|(s, _)| (from..until).contains(s)).map(|(_, n)| *n).fold(0.0, f64::max)
    };
    let total = report.total();
    Ok(Round {
        in_vain: far.iter().flatten().filter(|at| (GONE + NOTICED..BACK).contains(*at)).count() as f64,
        far: per_second(&far),
        survivors: peak(GONE, BACK) / peak(1.0, GONE).max(1.0),
        near,
        refused: total.refused as f64,
        failed: total.failed as f64,
        wordless: (total.lost + total.unsent) as f64,
        due: total.due as f64,
        full_after: full - BACK,
        worst,
        served,
    })
}

fn loss() -> Result<Outcome, Failure> {
    block_on(async {
        let folder = tempfile::tempdir()?;
        let trace = folder.path().join("made.trace");
        let shape = Traffic {
            rate: RATE,
            seconds: SECONDS,
            volumes: VOLUMES,
            shards: FAR.end as u32,
            hosts: INSTANCES as u32,
            seed: SEED,
        };
        traces::generate(&trace, shape)?;
        let mut out = Outcome::default();
        let mut rounds = Vec::new();
        for (judged, name) in [(false, "each box by itself"), (true, "[sites]")] {
            let round = round(&trace, judged).await?;
            out.figure(format!("{name}: requests"), round.due, "");
            out.figure(format!("{name}: refused"), round.refused, "");
            out.figure(format!("{name}: failed"), round.failed, "");
            out.figure(format!("{name}: without a last word"), round.wordless, "");
            out.figure(format!("{name}: sent to the lost site, once it could be noticed"), round.in_vain, "");
            out.figure(format!("{name}: until nine of ten are served again"), round.full_after, "s");
            out.figure(format!("{name}: of what a cold box bears, at worst"), round.worst, "");
            out.figure(
                format!("{name}: a second's most at survivors, of the most before"),
                round.survivors,
                "",
            );
            out.plot(
                format!("{name}: requests a second at boxes"),
                vec![("the lost site", round.far.clone()), ("the other", round.near.clone())],
            );
            out.plot(format!("{name}: part served, by second"), vec![("served", round.served.clone())]);
            rounds.push(round);
        }
        let [alone, judged] = rounds.as_slice() else {
            return Err(Failure::Unexpected("expected the results of two rounds"));
        };
        out.claim("every request received a final response", alone.wordless + judged.wordless == 0.0);
        out.claim(
            "with [sites] a lost site is sent at most a tenth of the requests",
            judged.in_vain * 10.0 <= alone.in_vain,
        );
        out.claim(
            "with [sites] returning targets receive no more than cold targets can serve",
            judged.worst <= 1.0,
        );
        out.claim("with per-target detection they receive more than that", alone.worst > 1.0);
        out.claim(
            "the loss raises the peak load on the remaining targets by at most a quarter",
            judged.survivors <= 1.25,
        );
        out.claim("nine of ten requests are served again after the return", judged.full_after.is_finite());
        Ok(out)
    })
}
