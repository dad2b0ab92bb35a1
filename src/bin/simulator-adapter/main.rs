//! Runs initiators for the simulator: translates between its messages and the scheduler's events and actions.
//! No decision is made here.
#![forbid(unsafe_code)]

mod discovery;
mod error;
mod host;
mod wire;

use std::io;
use std::process::ExitCode;

/// The buffer size of the standard streams, in bytes: a line contains some hundred events.
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
