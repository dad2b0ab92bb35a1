//! `rowanglade load`: the load that a recorded file offers.

use super::{Failure, percent, progress};
use rowanglade_capture::read::{self, Options, Progress};
use rowanglade_capture::{Summary, Tolerance};
use std::path::Path;

/// Prints a summary of the load that a file offers; sends nothing.
///
/// # Errors
/// The file cannot be read, or has no request.
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
        return Err(Failure::Usage(format!("{}: no request in it", file.display())));
    }
    print!("{summary}");
    for sample in &stats.samples {
        eprintln!("{}: {}: {}", file.display(), sample.place, sample.reason);
    }
    if stats.bad > 0 {
        eprintln!("{}: {} bad entries passed over", file.display(), stats.bad);
    }
    Ok(())
}
