//! Compares the JSON of reports and comparisons with recorded samples. Guards against a build that cannot read
//! the report of an earlier one, and against changed keys, which would break tools that read reports.

use rowanglade_replay::LatencyHistogram;
use rowanglade_replay::Report;
use rowanglade_replay::compare::{Change, Comparison};
use rowanglade_replay::report::{Class, Second, VERSION, Volume};
use std::collections::BTreeMap;

const SAMPLE: &str = include_str!("samples/report.json");
const COMPARISON: &str = include_str!("samples/comparison.json");

fn histogram(micros: &[u64]) -> LatencyHistogram {
    let mut histogram = LatencyHistogram::default();
    micros.iter().for_each(|m| histogram.record(*m));
    histogram
}

/// A report in which each field has a different value, so that swapped keys show.
fn report() -> Report {
    let class = Class {
        due: 11,
        sent: 12,
        again: 13,
        served: 14,
        in_time: 15,
        refused: 16,
        failed: 17,
        lost: 18,
        unsent: 19,
        aim_ms: 20,
        latency: histogram(&[1_000, 2_000]),
        refusal: histogram(&[300]),
    };
    let second = Second { due: 21, served: 22, refused: 23, failed: 24, lost: 25, unsent: 26, drift_us: 27 };
    let volume = Volume {
        volume: "00000003b4d60021".into(),
        plan: "basic".into(),
        rate: 4.5,
        limit: Some(32.25),
        asked: 33.5,
        served: 34.5,
        busiest: 35.5,
    };
    Report {
        version: VERSION,
        trace: "a.trace".into(),
        front: "http".into(),
        initiators: 2,
        speed: 1.5,
        seed: 3,
        seconds: 4.5,
        stopped: true,
        unfinished: 5,
        classes: BTreeMap::from([("view".into(), class)]),
        drift: histogram(&[10, 20, 30]),
        held: 6,
        most_out: 7,
        timeline: vec![second],
        volumes: vec![volume.clone(), Volume { limit: None, ..volume }],
        volumes_in_all: 8,
    }
}

#[test]
fn the_json_of_a_report_matches_the_sample() {
    let text = |report: &Report| serde_json::to_string_pretty(report).expect("JSON");
    assert_eq!(text(&report()), SAMPLE.trim_end());
    assert_eq!(text(&Report::parse(SAMPLE).expect("a report")), SAMPLE.trim_end());
}

#[test]
fn the_json_of_a_comparison_matches_the_sample() {
    let change =
        Change { class: "view".into(), figure: "served", before: 1.5, after: 2.5, beyond_noise: true };
    let comparison = Comparison { changes: vec![change], unlike: vec!["speed: 1 and 2".into()] };
    assert_eq!(serde_json::to_string_pretty(&comparison).expect("JSON"), COMPARISON.trim_end());
}
