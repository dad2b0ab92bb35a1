//! `rowanglade load`: summarizes the load in a recorded file.

use super::{Failure, percent, progress};
use rowanglade_capture::read::{self, Options, Progress};
use rowanglade_capture::{Summary, Tolerance};
use std::path::Path;

/// Prints a summary of the load in a file, without sending any request.
///
/// # Errors
/// The file cannot be read or contains no request.
pub fn load(file: &Path) -> Result<(), Failure> {
    let mut line = progress::Line::new();
    let mut show = |progress: Progress| {
        line.show(|| format!("{:.0}%  {} entries", percent(progress), progress.entries));
    };
    let mut summary = Summary::default();
    let options = Options { format: None, tolerance: Tolerance::default(), progress: &mut show };
    let stats = read::read_file(file, options, &mut |offer| {
        summary.add(&offer);
        true
    });
    drop(line);
    let stats = stats.map_err(Failure::usage)?;
    if summary.requests() == 0 {
        return Err(Failure::Usage(format!("{}: contains no requests", file.display())));
    }
    print!("{summary}");
    for sample in &stats.samples {
        eprintln!("{}: {}: {}", file.display(), sample.place, sample.reason);
    }
    if stats.bad > 0 {
        eprintln!("{}: skipped {} invalid entries", file.display(), stats.bad);
    }
    Ok(())
}
