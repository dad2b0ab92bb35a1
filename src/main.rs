//! The program: see `rowanglade help`.
#![forbid(unsafe_code)]

use rowanglade::{config::Config, node};

fn main() {
    let config = match Config::load(|name| std::env::var(name).ok()) {
        Ok(c) => c,
        Err(e) => {
            eprintln!("rowanglade: {e}");
            std::process::exit(2)
        }
    };
    tracing_subscriber::fmt().with_writer(std::io::stderr).with_ansi(false).init();
    let system = actix_rt::System::new();
    if let Err(e) = system.block_on(node::serve(config)) {
        eprintln!("rowanglade: {e}");
        std::process::exit(1)
    }
}
