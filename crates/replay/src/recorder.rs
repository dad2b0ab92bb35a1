//! Makes the report of a replay while it runs.

use crate::latency::LatencyHistogram;
use crate::plan::{Micros, RequestOutcome, Send, Verdict};
use crate::report::{Class, Report, Second, VERSION, Volume};
use rowanglade_capture::{ClassTerms, Header, Record};
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

/// Volumes that a report names one by one: those that asked for most.
const MAX_VOLUMES: usize = 40;

/// What a report is made in.
#[derive(Debug)]
pub struct Recorder {
    header: Header,
    report: Report,
    /// In the order of the header's classes.
    classes: Vec<Class>,
    volumes: HashMap<u64, Units>,
    due: u64,
    served: u64,
}

#[derive(Debug, Default)]
struct Units {
    plan: u16,
    asked: f64,
    served: f64,
    /// By second.
    per_second: HashMap<u64, f64>,
}

/// Of what a report is.
#[derive(Clone, Debug)]
pub struct Subject {
    /// The trace.
    pub trace: String,
    /// The protocol.
    pub front: String,
    /// How many initiators it is sent to.
    pub initiators: usize,
    /// How many times faster than recorded.
    pub speed: f64,
    /// What the random numbers follow from.
    pub seed: u64,
}

impl Recorder {
    /// A report of nothing yet.
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

    /// The class and the name of the plan of a record.
    pub fn terms(&self, record: &Record) -> Option<(ClassTerms, String)> {
        let class = self.header.classes.get(usize::from(record.class))?;
        let plan = self.header.plans.get(usize::from(record.plan))?;
        Some((class.clone(), plan.name.clone()))
    }

    /// Requests that have their last word, and served ones among them.
    pub fn so_far(&self) -> (u64, u64) {
        (self.due, self.served)
    }

    fn second(&mut self, due: Micros) -> &mut Second {
        let place = usize::try_from(due / 1_000_000).unwrap_or(usize::MAX).min(1 << 20);
        if self.report.timeline.len() <= place {
            self.report.timeline.resize(place + 1, Second::default());
        }
        &mut self.report.timeline[place]
    }

    /// A try went, beside so many others that are out, itself counted.
    pub fn sent(&mut self, send: &Send, now: Micros, out: usize) {
        self.report.most_out = self.report.most_out.max(out as u64);
        if let Some(class) = self.classes.get_mut(usize::from(send.record.class)) {
            class.sent += 1;
            class.again += u64::from(send.again > 0);
        }
        if send.again == 0 {
            let late = now.saturating_sub(send.due);
            self.report.drift.record(late);
            self.report.held += u64::from(send.held);
            let second = self.second(send.due);
            second.drift_us = second.drift_us.max(late);
        }
    }

    /// A request has its last word.
    pub fn ended(&mut self, verdict: &Verdict) {
        let record = &verdict.record;
        self.due += 1;
        let served = verdict.word == RequestOutcome::Served;
        self.served += u64::from(served);
        if let Some(class) = self.classes.get_mut(usize::from(record.class)) {
            class.due += 1;
            match verdict.word {
                RequestOutcome::Served => {
                    class.served += 1;
                    class.in_time += u64::from(verdict.took <= u64::from(class.aim_ms) * 1_000);
                    class.latency.record(verdict.took);
                }
                RequestOutcome::Refused => {
                    class.refused += 1;
                    class.refusal.record(verdict.took);
                }
                RequestOutcome::Failed => class.failed += 1,
                RequestOutcome::Lost => class.lost += 1,
                RequestOutcome::Unsent => class.unsent += 1,
            }
        }
        let second = self.second(verdict.due);
        second.due += 1;
        match verdict.word {
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
            *volume.per_second.entry(verdict.due / 1_000_000).or_default() += units;
        }
    }

    /// Requests that have no last word at the end.
    pub fn unfinished(&mut self, requests: u64) {
        self.report.unfinished = requests;
    }

    /// Whether the replay was ended before its end.
    pub fn stopped(&mut self, stopped: bool) {
        self.report.stopped = stopped;
    }

    /// The report of a replay that took this long.
    pub fn finish(self, took: Duration) -> Report {
        let mut report = self.report;
        report.seconds = took.as_secs_f64();
        report.volumes_in_all = self.volumes.len();
        let mut volumes: Vec<(u64, Units)> = self.volumes.into_iter().collect();
        volumes.sort_by(|a, b| b.1.asked.total_cmp(&a.1.asked).then(a.0.cmp(&b.0)));
        volumes.truncate(MAX_VOLUMES);
        for (volume, units) in volumes {
            let Some(plan) = self.header.plans.get(usize::from(units.plan)) else { continue };
            report.volumes.push(Volume {
                volume: format!("{volume:016x}"),
                plan: plan.name.clone(),
                rate: plan.rate,
                limit: plan.limit,
                asked: units.asked,
                served: units.served,
                busiest: units.per_second.values().copied().fold(0.0, f64::max),
            });
        }
        for (terms, class) in self.header.classes.iter().zip(self.classes) {
            report.classes.insert(terms.name.clone(), class);
        }
        report
    }
}
