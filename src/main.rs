//! The `rowanglade` program. `rowanglade help` lists its commands.
#![forbid(unsafe_code)]

fn main() -> std::process::ExitCode {
    rowanglade::cli::run(std::env::args_os().skip(1))
}
