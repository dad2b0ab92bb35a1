//! Tests of the comparison of two reports.

use rowanglade_capture::Header;
use rowanglade_replay::Report;
use rowanglade_replay::compare::compare;
use rowanglade_replay::recorder::{Recorder, Subject};
use rowanglade_replay::report::Class;
use std::time::Duration;

fn report(served: u64, of: u64, times: impl Fn(u64) -> u64) -> Report {
    let header =
        Header { base_us: 0, sources: Vec::new(), classes: Vec::new(), plans: Vec::new(), anonymised: false };
    let subject = Subject { trace: "t".into(), front: "http".into(), initiators: 1, speed: 1.0, seed: 1 };
    let mut report = Recorder::new(header, subject).finish(Duration::from_secs(1));
    let mut class = Class { due: of, served, refused: of - served, ..Class::default() };
    (0..served).for_each(|i| class.latency.record(times(i)));
    report.classes.insert("view".into(), class);
    report
}

fn significant_figures(a: &Report, b: &Report) -> Vec<&'static str> {
    compare(a, b).changes.into_iter().filter(|c| c.beyond_noise).map(|c| c.figure).collect()
}

#[test]
fn only_changes_beyond_noise_are_significant() {
    let spread = |i: u64| 10_000 + (i * 7_919) % 10_000;
    let base = report(950, 1_000, spread);
    assert!(significant_figures(&base, &base).is_empty());
    assert!(
        significant_figures(&base, &report(940, 1_000, spread)).is_empty(),
        "10 fewer of 1000 served is within noise"
    );
    assert_eq!(significant_figures(&base, &report(890, 1_000, spread)), ["served", "refused"]);
    let slower = report(950, 1_000, |i| spread(i) + 5_000);
    assert_eq!(significant_figures(&base, &slower), ["p50 ms", "p90 ms", "p99 ms"]);
    assert!(
        significant_figures(&base, &report(950, 1_000, |i| spread(i) + 300)).is_empty(),
        "0.3 ms is below the smallest significant change"
    );
    assert!(
        significant_figures(&report(3, 4, spread), &report(2, 4, |_| 90_000)).is_empty(),
        "four requests are too few"
    );
}

#[test]
fn a_report_read_back_from_json_has_no_changes() {
    let base = report(950, 1_000, |i| i * 10);
    let text = serde_json::to_string(&base).expect("JSON");
    let read = Report::parse(&text).expect("a report");
    assert!(!compare(&base, &read).changed() && compare(&base, &read).unlike.is_empty());
    assert_eq!(read.classes["view"].latency.at(0.9), base.classes["view"].latency.at(0.9));
    assert!(
        Report::parse(&text.replace("\"version\":1", "\"version\":7"))
            .expect_err("another version")
            .to_string()
            .contains('7')
    );
    assert!(Report::parse("{}").expect_err("no version").to_string().contains("not a replay report"));
}
