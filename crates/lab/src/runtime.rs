//! Async runtime of the experiments.

/// Runs an experiment on the same kind of runtime as the daemon uses.
pub fn block_on<T>(future: impl Future<Output = T>) -> T {
    actix_rt::System::new().block_on(future)
}
