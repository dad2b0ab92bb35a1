//! What became of a replay's requests.

use crate::plan::{Micros, Send, Verdict, Word};
use base64::Engine;
use base64::prelude::BASE64_STANDARD;
use hdrhistogram::Histogram;
use hdrhistogram::serialization::{Deserializer, Serializer, V2Serializer};
use rowanglade_capture::{ClassTerms, Header, Record};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap};
use std::fmt;
use std::time::Duration;

/// The version of reports that this program writes.
pub const VERSION: u32 = 1;
/// Volumes that a report tells of one by one: those that asked for most.
const VOLUMES: usize = 40;

/// Times in microseconds, as a histogram with three digits.
#[derive(Clone, Debug)]
pub struct Times(Histogram<u64>);

impl Default for Times {
    fn default() -> Times {
        // Three digits always make a histogram, which grows with its values.
        Times(Histogram::new(3).expect("three significant digits"))
    }
}

impl Times {
    pub fn record(&mut self, micros: u64) {
        // It grows as far as times go.
        let _ = self.0.record(micros);
    }

    pub fn count(&self) -> u64 {
        self.0.len()
    }

    /// The time, in microseconds, that this part of them does not pass.
    pub fn at(&self, part: f64) -> u64 {
        self.0.value_at_quantile(part)
    }

    pub fn mean(&self) -> f64 {
        self.0.mean()
    }

    pub fn max(&self) -> u64 {
        self.0.max()
    }
}

/// As HdrHistogram's V2 encoding in base64, with the usual quantiles beside it for those who only look.
#[derive(Serialize, Deserialize)]
struct TimesText {
    count: u64,
    p50_us: u64,
    p90_us: u64,
    p99_us: u64,
    max_us: u64,
    hdr: String,
}

impl Serialize for Times {
    fn serialize<S: serde::Serializer>(&self, out: S) -> Result<S::Ok, S::Error> {
        let mut bytes = Vec::new();
        V2Serializer::new().serialize(&self.0, &mut bytes).map_err(serde::ser::Error::custom)?;
        TimesText {
            count: self.count(),
            p50_us: self.at(0.5),
            p90_us: self.at(0.9),
            p99_us: self.at(0.99),
            max_us: self.max(),
            hdr: BASE64_STANDARD.encode(bytes),
        }
        .serialize(out)
    }
}

impl<'de> Deserialize<'de> for Times {
    fn deserialize<D: serde::Deserializer<'de>>(from: D) -> Result<Times, D::Error> {
        let text = TimesText::deserialize(from)?;
        let bytes = BASE64_STANDARD.decode(text.hdr).map_err(serde::de::Error::custom)?;
        let histogram = Deserializer::new().deserialize(&mut bytes.as_slice());
        let mut histogram: Histogram<u64> = histogram.map_err(serde::de::Error::custom)?;
        histogram.auto(true);
        Ok(Times(histogram))
    }
}

/// A class's requests.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Class {
    /// Requests that came due.
    pub due: u64,
    /// Tries sent, and those of them that were clients' second ones.
    pub sent: u64,
    pub again: u64,
    pub served: u64,
    /// Served within the class's aim, from the moment they were due.
    pub in_time: u64,
    pub refused: u64,
    pub failed: u64,
    /// Without an answer.
    pub lost: u64,
    /// Never sent, for want of room.
    pub unsent: u64,
    pub aim_ms: u32,
    /// Of served requests, from the moment they were due.
    pub latency: Times,
    /// Of refused ones.
    pub refusal: Times,
}

/// What came due in a second.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Second {
    pub due: u64,
    pub served: u64,
    pub refused: u64,
    pub failed: u64,
    pub lost: u64,
    pub unsent: u64,
    /// The latest that a first try of it went, in microseconds.
    pub drift_us: u64,
}

/// A volume's units against its plan.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Volume {
    /// 16 hex digits.
    pub volume: String,
    pub plan: String,
    /// Units a second that the plan is sized for, and that it must not pass.
    pub rate: f64,
    pub limit: Option<f64>,
    pub asked: f64,
    pub served: f64,
    /// Units served of the second in which most were.
    pub busiest: f64,
}

/// All of it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Report {
    pub version: u32,
    pub trace: String,
    pub front: String,
    pub initiators: usize,
    pub speed: f64,
    pub seed: u64,
    pub seconds: f64,
    /// It was ended before its end.
    pub stopped: bool,
    /// Requests that had no last word then.
    pub unfinished: u64,
    pub classes: BTreeMap<String, Class>,
    /// How late first tries went, against the schedule.
    pub drift: Times,
    /// First tries that waited for others to end, since too many were out.
    pub held: u64,
    /// The most tries that were out at once.
    pub most_out: u64,
    pub timeline: Vec<Second>,
    pub volumes: Vec<Volume>,
    pub volumes_in_all: usize,
}

impl Report {
    /// # Errors
    /// It is no report of this version.
    pub fn parse(text: &str) -> Result<Report, String> {
        #[derive(Deserialize)]
        struct Which {
            version: u32,
        }
        let which: Which = serde_json::from_str(text).map_err(|e| format!("is no report: {e}"))?;
        if which.version != VERSION {
            return Err(format!("is a report of version {}, not {VERSION}", which.version));
        }
        serde_json::from_str(text).map_err(|e| format!("is no report: {e}"))
    }

    /// Sums over the classes.
    pub fn total(&self) -> Class {
        let mut total = Class::default();
        for class in self.classes.values() {
            total.due += class.due;
            total.sent += class.sent;
            total.again += class.again;
            total.served += class.served;
            total.in_time += class.in_time;
            total.refused += class.refused;
            total.failed += class.failed;
            total.lost += class.lost;
            total.unsent += class.unsent;
        }
        total
    }
}

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
    pub trace: String,
    pub front: String,
    pub initiators: usize,
    pub speed: f64,
    pub seed: u64,
}

impl Recorder {
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
            drift: Times::default(),
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
        let served = verdict.word == Word::Served;
        self.served += u64::from(served);
        if let Some(class) = self.classes.get_mut(usize::from(record.class)) {
            class.due += 1;
            match verdict.word {
                Word::Served => {
                    class.served += 1;
                    class.in_time += u64::from(verdict.took <= u64::from(class.aim_ms) * 1_000);
                    class.latency.record(verdict.took);
                }
                Word::Refused => {
                    class.refused += 1;
                    class.refusal.record(verdict.took);
                }
                Word::Failed => class.failed += 1,
                Word::Lost => class.lost += 1,
                Word::Unsent => class.unsent += 1,
            }
        }
        let second = self.second(verdict.due);
        second.due += 1;
        match verdict.word {
            Word::Served => second.served += 1,
            Word::Refused => second.refused += 1,
            Word::Failed => second.failed += 1,
            Word::Lost => second.lost += 1,
            Word::Unsent => second.unsent += 1,
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

    pub fn stopped(&mut self, stopped: bool) {
        self.report.stopped = stopped;
    }

    pub fn finish(self, took: Duration) -> Report {
        let mut report = self.report;
        report.seconds = took.as_secs_f64();
        report.volumes_in_all = self.volumes.len();
        let mut volumes: Vec<(u64, Units)> = self.volumes.into_iter().collect();
        volumes.sort_by(|a, b| b.1.asked.total_cmp(&a.1.asked).then(a.0.cmp(&b.0)));
        volumes.truncate(VOLUMES);
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

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Report { trace, front, initiators, speed, seconds, seed, .. } = self;
        write!(f, "{trace} over {front} to {initiators} initiator(s), speed {speed}, seed {seed}: ")?;
        writeln!(f, "{seconds:.1} s{}", if self.stopped { ", stopped" } else { "" })?;
        writeln!(
            f,
            "{:<10} {:>8} {:>8} {:>7} {:>8} {:>8} {:>8} {:>7} {:>6} {:>7} {:>9} {:>9} {:>9}",
            "class",
            "due",
            "sent",
            "again",
            "served",
            "in time",
            "refused",
            "failed",
            "lost",
            "unsent",
            "p50 ms",
            "p90 ms",
            "p99 ms"
        )?;
        let total = self.total();
        let rows = self.classes.iter().map(|(n, c)| (n.as_str(), c)).chain([("all", &total)]);
        for (name, c) in rows {
            let time = |part| match c.latency.count() {
                0 => "-".to_string(),
                _ => format!("{:.1}", c.latency.at(part) as f64 / 1e3),
            };
            writeln!(
                f,
                "{name:<10} {:>8} {:>8} {:>7} {:>8} {:>8} {:>8} {:>7} {:>6} {:>7} {:>9} {:>9} {:>9}",
                c.due,
                c.sent,
                c.again,
                c.served,
                c.in_time,
                c.refused,
                c.failed,
                c.lost,
                c.unsent,
                time(0.5),
                time(0.9),
                time(0.99)
            )?;
        }
        let d = &self.drift;
        let ms = |part| d.at(part) as f64 / 1e3;
        writeln!(
            f,
            "sent behind the schedule: p50 {:.1} ms, p99 {:.1} ms, at most {:.1} ms; held for room {}",
            ms(0.5),
            ms(0.99),
            d.max() as f64 / 1e3,
            self.held
        )?;
        if self.unfinished > 0 {
            writeln!(f, "without a last word when it was stopped: {}", self.unfinished)?;
        }
        let over = |v: &&Volume| v.limit.is_some_and(|l| v.busiest > l);
        for v in self.volumes.iter().filter(over).take(5) {
            writeln!(
                f,
                "volume {} on {}: {:.1} units served of one second, limit {:.1} a second",
                v.volume,
                v.plan,
                v.busiest,
                v.limit.unwrap_or(0.0)
            )?;
        }
        Ok(())
    }
}
