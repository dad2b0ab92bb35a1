//! Traces that experiments replay, and what they hold.

use crate::failure::Failure;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rowanglade_capture::{
    ClassTerms, Header, Import, Mapping, PlanTerms, Record, Repeat, Tolerance, TraceReader, TraceWriter,
    import,
};
use rowanglade_replay::{Replay, Report, replay};
use std::path::{Path, PathBuf};
use tokio::sync::oneshot;

/// The trace that the project ships.
const SAMPLE: &[u8] = include_bytes!("../../../samples/viewers.har.gz");

/// The shipped sample as a trace in a folder.
pub fn import_sample(folder: &Path) -> Result<PathBuf, Failure> {
    let (har, trace) = (folder.join("viewers.har.gz"), folder.join("viewers.trace"));
    std::fs::write(&har, SAMPLE)?;
    let plan = Import {
        files: std::slice::from_ref(&har),
        format: None,
        tolerance: Tolerance::default(),
        window: 5_000_000,
        to: &trace,
    };
    import(&Mapping::standard()?, &plan, &mut |_, _| {}).map_err(|(error, _)| error)?;
    Ok(trace)
}

/// The request classes and QoS plans that the project ships.
pub fn standard_header() -> Header {
    let class = |name: &str, write, repeat, aim_ms, deadline_ms| ClassTerms {
        name: name.into(),
        write,
        repeat,
        aim_ms,
        deadline_ms,
    };
    let plan = |name: &str, rate, limit| PlanTerms { name: name.into(), rate, limit };
    Header {
        base_us: 0,
        sources: vec!["made".into()],
        classes: vec![
            class("view", false, Repeat::Safe, 300, 1_500),
            class("deposit", true, Repeat::Keyed { span_ms: 3_000 }, 400, 3_000),
            class("export", false, Repeat::Safe, 1_500, 5_000),
        ],
        plans: vec![plan("basic", 4.0, Some(32.0)), plan("full", 8.0, None)],
        anonymised: false,
    }
}

/// Traffic to be generated.
#[derive(Clone, Copy, Debug)]
pub struct Traffic {
    /// Requests a second, at random times.
    pub rate: f64,
    /// The length of the trace.
    pub seconds: f64,
    /// How many volumes the requests spread over.
    pub volumes: u64,
    /// 0: all are new objects.
    pub shards: u32,
    /// How many initiators each volume comes through.
    pub hosts: u32,
    /// What the random numbers follow from.
    pub seed: u64,
}

/// Generates a trace of the shipped mix of request classes, all on the QoS plan without a limit.
///
/// # Errors
/// The file cannot be written.
pub fn generate(path: &Path, traffic: Traffic) -> Result<u64, Failure> {
    let mut random = Pcg64Mcg::seed_from_u64(traffic.seed);
    let mut writer = TraceWriter::create(path, &standard_header())?;
    let mut at = 0.0;
    loop {
        at += -random.random_range(f64::MIN_POSITIVE..1.0).ln() / traffic.rate;
        if at >= traffic.seconds {
            return Ok(writer.finish()?);
        }
        let class: u16 = match random.random_range(0..100) {
            0..55 => 0,
            55..85 => 1,
            _ => 2,
        };
        let volume = 1 + random.random_range(0..traffic.volumes);
        writer.push(Record {
            at: (at * 1e6) as u64,
            class,
            plan: 1,
            volume,
            piece: random.random(),
            units: 1.0,
            shard: (traffic.shards > 0).then(|| (volume % u64::from(traffic.shards)) as u32),
            hosts: traffic.hosts,
            deadline_ms: [1_500, 3_000, 5_000][usize::from(class)],
            bytes: 1_024,
            key: (class == 1).then(|| random.random()),
            status: 200,
            took: None,
        })?;
    }
}

/// Replays a whole trace.
pub async fn replay_all(trace: &Path, plan: &Replay) -> Result<Report, Failure> {
    let (_stop, stopped) = oneshot::channel();
    let (report, trace_error) = replay(trace, plan, stopped, &mut |_| {}).await?;
    match trace_error {
        Some(error) => Err(error.into()),
        None => Ok(report),
    }
}

/// The records of a trace.
pub fn read_records(trace: &Path) -> Result<Vec<Record>, Failure> {
    Ok(TraceReader::open(trace)?.collect::<Result<_, _>>()?)
}
