//! `rowanglade capture`: imports recorded files into traces, and inspects and cuts traces.

mod cut;
mod import;
mod inspect;
mod load;

pub use load::load;

use super::{Failure, progress};
use lexopt::prelude::*;
use rowanglade_capture::read::Progress;

/// What `rowanglade help capture` prints.
pub const HELP: &str = "\
usage: rowanglade capture import FILE... --out TRACE [--map MAPPING] [--format har|log|own]
                                 [--bad-share SHARE] [--window SECONDS]
       rowanglade capture inspect TRACE [--json]
       rowanglade capture cut TRACE --out PART [--from SECONDS] [--until SECONDS] [--class NAME]...
                              [--volume HEX]... [--share SHARE]
       rowanglade capture mapping      print the default mapping

import reads HAR files, access logs (Common or Combined, with or without the time taken) and the daemon's own
access log, plain or compressed with gzip or zstd, one file after the other. Entries that cannot be parsed are
counted, and samples of them are printed; the import fails if their share of a file exceeds --bad-share (0.05).
Lines that are out of order by up to --window seconds (5) are sorted. Requests that the mapping does not cover are
reported by their pattern.
cut with --share keeps that share of the volumes, with all of their requests, so that a client's requests stay
together.

  rowanglade capture import access.log.1 access.log --map map.toml --out monday.trace
  rowanglade capture cut monday.trace --from 3600 --until 3660 --out minute.trace
  rowanglade replay minute.trace --to 127.0.0.1:7070
";

/// Runs the command that the arguments name.
///
/// # Errors
/// The usage is wrong, or a file cannot be used.
pub fn run(mut parser: lexopt::Parser) -> Result<(), Failure> {
    match parser.next()? {
        Some(Value(word)) if word == "import" => import::run(parser),
        Some(Value(word)) if word == "inspect" => inspect::run(parser),
        Some(Value(word)) if word == "cut" => cut::run(parser),
        Some(Value(word)) if word == "mapping" => {
            print!("{}", rowanglade_capture::mapping::STANDARD);
            Ok(())
        }
        Some(Long("help") | Short('h')) => {
            print!("{HELP}");
            Ok(())
        }
        Some(Value(word)) => {
            Err(Failure::Usage(format!("capture: unknown command {word:?}; see `rowanglade help capture`")))
        }
        Some(other) => Err(other.unexpected().into()),
        None => Err(Failure::usage("capture needs one of import, inspect, cut, mapping")),
    }
}

/// Returns how much of a file has been read, in percent.
fn percent(progress: Progress) -> f64 {
    100.0 * progress.bytes as f64 / progress.total_bytes.max(1) as f64
}
