//! `rowanglade capture`: from recorded files to traces, and parts of traces.

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
                                 [--bad-share PART] [--window SECONDS]
       rowanglade capture inspect TRACE [--json]
       rowanglade capture cut TRACE --out PART [--from SECONDS] [--until SECONDS] [--class NAME]...
                              [--volume HEX]... [--share PART]
       rowanglade capture mapping      print the mapping that is used without --map

import reads HAR files, access logs (Common or Combined, with or without the time taken) and the daemon's own
access log, plain or packed by gzip or zstd, one file behind the other. Entries that cannot be read are counted
and shown; more than --bad-share of a file (0.05) end the import. Lines up to --window seconds (5) out of order
are put in order. What the mapping does not know is reported by its pattern.
cut keeps the requests of whole volumes with --share, so that a client's requests stay together.

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

/// How much of a file has been read, in percent.
fn percent(progress: Progress) -> f64 {
    100.0 * progress.bytes as f64 / progress.total_bytes.max(1) as f64
}
