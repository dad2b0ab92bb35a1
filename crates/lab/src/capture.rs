//! Experiments on the import of captured logs.

use crate::experiment::{Experiment, Runner};
use crate::failure::Failure;
use crate::outcome::Outcome;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::fs::File;
use std::io::{BufReader, BufWriter, Read, Write};
use std::path::Path;
use std::process::Command;
use std::time::Instant;

pub fn experiments() -> Vec<Experiment> {
    let about = "import and load of generated logs of up to 200 MB: speed and peak memory";
    vec![Experiment { name: "capture-speed", about, runner: Runner::Plain(measure_import) }]
}

/// Writes a log in the combined format of about `bytes` bytes with about 340 requests per second of log time,
/// and returns its exact size.
fn write_log(path: &Path, bytes: u64) -> Result<u64, Failure> {
    let mut random = Pcg64Mcg::seed_from_u64(1);
    let mut out = BufWriter::new(File::create(path)?);
    let (mut written, mut second) = (0, 0);
    while written < bytes {
        let (h, m, s) = (9 + second / 3_600, second / 60 % 60, second % 60);
        let line = format!(
            "10.{}.{}.{} - - [01/Dec/2026:{h:02}:{m:02}:{s:02} -0500] \"GET /view/{:016x}/{:016x}?size=2 HTTP/1.1\" \
             200 {} \"https://members.example/x\" \"viewer/1.0 (X11; Linux x86_64)\" 0.{:03}\n",
            random.random_range(0..256),
            random.random_range(0..256),
            random.random_range(0..256),
            random.random_range(0..80),
            random.random::<u64>(),
            random.random_range(0..300_000),
            random.random_range(0..999)
        );
        out.write_all(line.as_bytes())?;
        written += line.len() as u64;
        second += u32::from(random.random_bool(0.003));
    }
    out.flush()?;
    Ok(written)
}

/// Runs a command of the daemon in a separate process; returns its run time in seconds and its peak memory in
/// bytes.
fn run_measured(args: &[&std::ffi::OsStr]) -> Result<(f64, f64), Failure> {
    let started_at = Instant::now();
    let output = Command::new(std::env::current_exe()?).arg("measured").args(args).output()?;
    let seconds = started_at.elapsed().as_secs_f64();
    if !output.status.success() {
        return Err(Failure::CommandFailed(String::from_utf8_lossy(&output.stderr).into_owned()));
    }
    let text = String::from_utf8(output.stdout)?;
    let usage: serde_json::Value = serde_json::from_str(text.lines().last().unwrap_or_default())?;
    Ok((seconds, usage["memory"].as_f64().unwrap_or(f64::MAX)))
}

fn count_lines(path: &Path) -> Result<(f64, usize), Failure> {
    let started_at = Instant::now();
    let mut file = BufReader::new(File::open(path)?);
    let mut buffer = vec![0; 256 << 10];
    let mut lines = 0;
    loop {
        let read = file.read(&mut buffer)?;
        if read == 0 {
            return Ok((started_at.elapsed().as_secs_f64(), lines));
        }
        lines += memchr::memchr_iter(b'\n', &buffer[..read]).count();
    }
}

fn measure_import() -> Result<Outcome, Failure> {
    let folder = tempfile::tempdir()?;
    let mut out = Outcome::default();
    let mut peaks = Vec::new();
    for megabytes in [20, 200_u64] {
        let log = folder.path().join(format!("{megabytes}.log"));
        let bytes = write_log(&log, megabytes * 1_000_000)? as f64;
        let trace = folder.path().join("out.trace");
        let import_command = ["capture", "import"].map(std::ffi::OsStr::new);
        let args =
            [import_command[0], import_command[1], log.as_os_str(), "--out".as_ref(), trace.as_os_str()];
        let (import, memory) = run_measured(&args)?;
        let (load, load_memory) = run_measured(&["load".as_ref(), log.as_os_str()])?;
        let (count, lines) = count_lines(&log)?;
        out.figure(format!("{megabytes} MB: lines"), lines as f64, "");
        out.figure(format!("{megabytes} MB: import"), bytes / 1e6 / import, "MB/s");
        out.figure(format!("{megabytes} MB: import, peak memory"), memory / 1e6, "MB");
        out.figure(format!("{megabytes} MB: load"), bytes / 1e6 / load, "MB/s");
        out.figure(format!("{megabytes} MB: load, peak memory"), load_memory / 1e6, "MB");
        out.figure(format!("{megabytes} MB: import's time over counting lines"), import / count, "times");
        peaks.push(memory);
    }
    out.claim("the import of a 200 MB log needs less than 32 MB of peak memory", peaks[1] < 32e6);
    out.claim("a log ten times as large needs less than 1.5 times the memory", peaks[1] < 1.5 * peaks[0]);
    Ok(out)
}
