//! The runtime that experiments run on.

/// Runs an experiment on the daemon's own kind of runtime.
pub fn block_on<T>(future: impl Future<Output = T>) -> T {
    actix_rt::System::new().block_on(future)
}
