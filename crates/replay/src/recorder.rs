//! Collects the report of a replay while it runs.

use crate::latency::LatencyHistogram;
use crate::plan::{Attempt, CompletedRequest, Micros, RequestOutcome};
use crate::report::{Class, Report, Second, VERSION, Volume};
use rowanglade_capture::{ClassTerms, Header, Record};
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

/// Number of volumes that a report lists: those that requested the most units.
const MAX_VOLUMES: usize = 40;

/// Collects outcomes into a [`Report`].
#[derive(Debug)]
pub struct Recorder {
    header: Header,
    report: Report,
    /// In the order of the header's classes.
    classes: Vec<Class>,
    volumes: HashMap<u64, VolumeUnits>,
    due: u64,
    served: u64,
}

#[derive(Debug, Default)]
struct VolumeUnits {
    plan: u16,
    asked: f64,
    served: f64,
    /// Units served, by the second in which their requests were due.
    per_second: HashMap<u64, f64>,
}

/// The replay that a report describes.
#[derive(Clone, Debug)]
pub struct Subject {
    /// File name of the trace.
    pub trace: String,
    /// Front that requests are sent to: `http` or `iscsi`.
    pub front: String,
    /// Number of initiators.
    pub initiators: usize,
    /// Speed relative to the recording.
    pub speed: f64,
    /// Seed of the replay's random numbers.
    pub seed: u64,
}

impl Recorder {
    /// Creates a recorder whose report is empty.
    pub fn new(header: Header, subject: Subject) -> Recorder {
        let classes = header.classes.iter().map(|c| Class { aim_ms: c.aim_ms, ..Class::default() }).collect();
        let Subject { trace, front, initiators, speed, seed } = subject;
        let report = Report {
            version: VERSION,
            trace,
            front,
            initiators,
            speed,
            seed,
            seconds: 0.0,
            stopped: false,
            unfinished: 0,
            classes: BTreeMap::new(),
            drift: LatencyHistogram::default(),
            held: 0,
            most_out: 0,
            timeline: Vec::new(),
            volumes: Vec::new(),
            volumes_in_all: 0,
        };
        Recorder { header, report, classes, volumes: HashMap::new(), due: 0, served: 0 }
    }

    /// The class of a record and the name of its QoS plan; `None` if the header lacks one of them.
    pub fn terms(&self, record: &Record) -> Option<(ClassTerms, String)> {
        let class = self.header.classes.get(usize::from(record.class))?;
        let plan = self.header.plans.get(usize::from(record.plan))?;
        Some((class.clone(), plan.name.clone()))
    }

    /// Numbers of requests with a final outcome, and of those that were served.
    pub fn progress_counts(&self) -> (u64, u64) {
        (self.due, self.served)
    }

    fn second_mut(&mut self, due: Micros) -> &mut Second {
        let index = usize::try_from(due / 1_000_000).unwrap_or(usize::MAX).min(1 << 20);
        if self.report.timeline.len() <= index {
            self.report.timeline.resize(index + 1, Second::default());
        }
        &mut self.report.timeline[index]
    }

    /// Records that an attempt was sent. `in_flight` is the number of attempts in flight, including this one.
    pub fn record_attempt(&mut self, attempt: &Attempt, now: Micros, in_flight: usize) {
        self.report.most_out = self.report.most_out.max(in_flight as u64);
        if let Some(class) = self.classes.get_mut(usize::from(attempt.record.class)) {
            class.sent += 1;
            class.again += u64::from(attempt.retry_number > 0);
        }
        if attempt.retry_number == 0 {
            let late = now.saturating_sub(attempt.due);
            self.report.drift.record(late);
            self.report.held += u64::from(attempt.waited_for_slot);
            let second = self.second_mut(attempt.due);
            second.drift_us = second.drift_us.max(late);
        }
    }

    /// Records the final outcome of a request.
    pub fn record_outcome(&mut self, request: &CompletedRequest) {
        let record = &request.record;
        self.due += 1;
        let served = request.outcome == RequestOutcome::Served;
        self.served += u64::from(served);
        if let Some(class) = self.classes.get_mut(usize::from(record.class)) {
            class.due += 1;
            match request.outcome {
                RequestOutcome::Served => {
                    class.served += 1;
                    class.in_time += u64::from(request.latency <= u64::from(class.aim_ms) * 1_000);
                    class.latency.record(request.latency);
                }
                RequestOutcome::Refused => {
                    class.refused += 1;
                    class.refusal.record(request.latency);
                }
                RequestOutcome::Failed => class.failed += 1,
                RequestOutcome::Lost => class.lost += 1,
                RequestOutcome::Unsent => class.unsent += 1,
            }
        }
        let second = self.second_mut(request.due);
        second.due += 1;
        match request.outcome {
            RequestOutcome::Served => second.served += 1,
            RequestOutcome::Refused => second.refused += 1,
            RequestOutcome::Failed => second.failed += 1,
            RequestOutcome::Lost => second.lost += 1,
            RequestOutcome::Unsent => second.unsent += 1,
        }
        let units = f64::from(record.units);
        let volume = self.volumes.entry(record.volume).or_default();
        volume.plan = record.plan;
        volume.asked += units;
        if served {
            volume.served += units;
            *volume.per_second.entry(request.due / 1_000_000).or_default() += units;
        }
    }

    /// Records how many requests have no final outcome at the end.
    pub fn set_unfinished(&mut self, requests: u64) {
        self.report.unfinished = requests;
    }

    /// Records whether the replay was stopped before the end of its trace.
    pub fn set_stopped(&mut self, stopped: bool) {
        self.report.stopped = stopped;
    }

    /// Returns the report of a replay that took this long. Classes are named as in the trace's header.
    pub fn finish(self, took: Duration) -> Report {
        let mut report = self.report;
        report.seconds = took.as_secs_f64();
        report.volumes_in_all = self.volumes.len();
        let mut volumes: Vec<(u64, VolumeUnits)> = self.volumes.into_iter().collect();
        volumes.sort_by(|a, b| b.1.asked.total_cmp(&a.1.asked).then(a.0.cmp(&b.0)));
        volumes.truncate(MAX_VOLUMES);
        for (volume, volume_units) in volumes {
            let Some(plan) = self.header.plans.get(usize::from(volume_units.plan)) else { continue };
            report.volumes.push(Volume {
                volume: format!("{volume:016x}"),
                plan: plan.name.clone(),
                rate: plan.rate,
                limit: plan.limit,
                asked: volume_units.asked,
                served: volume_units.served,
                busiest: volume_units.per_second.values().copied().fold(0.0, f64::max),
            });
        }
        for (terms, class) in self.header.classes.iter().zip(self.classes) {
            report.classes.insert(terms.name.clone(), class);
        }
        report
    }
}
