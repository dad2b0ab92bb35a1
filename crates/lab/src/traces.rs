//! Creates, replays and reads the traces of experiments.

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

/// The HAR sample that the project ships, compressed.
const SAMPLE: &[u8] = include_bytes!("../../../samples/viewers.har.gz");

/// Imports the shipped sample into a trace in `folder` and returns the trace's path.
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

/// Trace header with the request classes and QoS plans of the default configuration.
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

/// Parameters of a generated trace.
#[derive(Clone, Copy, Debug)]
pub struct Traffic {
    /// Mean requests per second; arrivals are a Poisson process.
    pub rate: f64,
    /// Length of the trace in seconds.
    pub seconds: f64,
    /// Number of volumes that the requests are spread over.
    pub volumes: u64,
    /// Number of shards; 0 makes all requests new objects, which carry no shard.
    pub shards: u32,
    /// Number of initiators that serve each volume.
    pub hosts: u32,
    /// Seed of the random number generator.
    pub seed: u64,
}

/// Writes a trace with a fixed mix of the standard request classes, all on the QoS plan without a limit, and
/// returns the number of requests.
///
/// # Errors
/// The trace file cannot be written.
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

/// Replays a trace to its end. A trace that cannot be read to its end is an error.
pub async fn replay_all(trace: &Path, plan: &Replay) -> Result<Report, Failure> {
    let (_stop, stopped) = oneshot::channel();
    let (report, trace_error) = replay(trace, plan, stopped, &mut |_| {}).await?;
    match trace_error {
        Some(error) => Err(error.into()),
        None => Ok(report),
    }
}

/// Reads all records of a trace.
pub fn read_records(trace: &Path) -> Result<Vec<Record>, Failure> {
    Ok(TraceReader::open(trace)?.collect::<Result<_, _>>()?)
}
