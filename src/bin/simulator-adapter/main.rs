//! Hosts initiators of rowanglade on the simulator's wire. Translation only: no decision is taken here.
#![forbid(unsafe_code)]

mod discovery;
mod error;
mod host;
mod wire;

use std::io;
use std::process::ExitCode;

/// Bytes of the standard streams that are buffered: a line holds some hundred events.
const STREAM_BUFFER_BYTES: usize = 1 << 16;

fn main() -> ExitCode {
    let input = io::BufReader::with_capacity(STREAM_BUFFER_BYTES, io::stdin().lock());
    let output = io::BufWriter::with_capacity(STREAM_BUFFER_BYTES, io::stdout().lock());
    match host::serve(input, output) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("rowanglade-benchlink: {error}");
            ExitCode::FAILURE
        }
    }
}
