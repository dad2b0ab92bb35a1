//! `rowanglade capture import`: imports recorded files into a trace.

use super::{Failure, percent, progress};
use lexopt::prelude::*;
use rowanglade_capture::import::DEFAULT_WINDOW;
use rowanglade_capture::{Import, Mapping, Tolerance, import};
use std::path::PathBuf;

/// The longest window within which out-of-order lines are sorted: one day.
const MAX_WINDOW_SECONDS: f64 = 86_400.0;

/// Runs the command.
///
/// # Errors
/// The usage is wrong, a file cannot be read or written, or too many entries of a file are invalid.
pub(super) fn run(mut parser: lexopt::Parser) -> Result<(), Failure> {
    let mut files = Vec::new();
    let mut out = None;
    let mut map = None;
    let mut format = None;
    let mut tolerance = Tolerance::default();
    let mut window_seconds = DEFAULT_WINDOW as f64 / 1e6;
    while let Some(arg) = parser.next()? {
        match arg {
            Long("out") => out = Some(PathBuf::from(parser.value()?)),
            Long("map") => map = Some(PathBuf::from(parser.value()?)),
            Long("format") => format = Some(parser.value()?.parse()?),
            Long("bad-share") => tolerance.bad_share = parser.value()?.parse()?,
            Long("window") => window_seconds = parser.value()?.parse()?,
            Value(file) => files.push(PathBuf::from(file)),
            other => return Err(other.unexpected().into()),
        }
    }
    let out = out.ok_or_else(|| Failure::usage("capture import needs --out TRACE"))?;
    if files.is_empty() {
        return Err(Failure::usage("capture import needs a FILE"));
    }
    if !(0.0..=1.0).contains(&tolerance.bad_share) {
        return Err(Failure::usage("--bad-share must be between 0 and 1"));
    }
    if !(0.0..=MAX_WINDOW_SECONDS).contains(&window_seconds) {
        return Err(Failure::usage("--window must be between 0 and 86400 seconds"));
    }
    let mapping = map.map_or_else(Mapping::standard, |path| Mapping::load(&path)).map_err(Failure::usage)?;
    let window = (window_seconds * 1e6) as i64;
    let options = Import { files: &files, format, tolerance, window, to: &out };
    let mut line = progress::Line::new();
    let result = import(&mapping, &options, &mut |index, p| {
        line.show(|| format!("{}: {:.0}%  {} entries", files[index].display(), percent(p), p.entries));
    });
    drop(line);
    match result {
        Ok(imported) => {
            print!("{imported}");
            Ok(())
        }
        Err((error, imported)) => {
            eprint!("{imported}");
            Err(Failure::usage(error))
        }
    }
}
