//! Returns free memory of the C library's allocator to the system.
//!
//! The allocator keeps freed memory for later allocations. After a burst of requests most of it stays resident, and the
//! platform counts it against the memory limit of the process. With another C library than glibc the functions do
//! nothing.

/// Allocations from this size on are mapped one by one, so that each is returned to the system when it is freed.
#[cfg(all(target_os = "linux", target_env = "gnu"))]
const MAPPED_ALLOCATION_BYTES: libc::c_int = 64 * 1024;
/// The allocator has one arena, because the program has one busy thread: memory that is free in one arena is not
/// available in another.
#[cfg(all(target_os = "linux", target_env = "gnu"))]
const ARENAS: libc::c_int = 1;

/// Makes the allocator keep less free memory. To be called at the start, before other threads run.
#[cfg(all(target_os = "linux", target_env = "gnu"))]
pub fn keep_little_free_memory() {
    // SAFETY: mallopt may be called at any time; it changes the allocator's parameters under its own lock.
    unsafe {
        libc::mallopt(libc::M_MMAP_THRESHOLD, MAPPED_ALLOCATION_BYTES);
        libc::mallopt(libc::M_ARENA_MAX, ARENAS);
    }
}

/// Returns the whole pages that are free to the system.
#[cfg(all(target_os = "linux", target_env = "gnu"))]
pub fn release_free_memory() {
    // SAFETY: malloc_trim may be called at any time; it releases pages that no allocation uses, under the allocator's
    // own lock.
    unsafe {
        libc::malloc_trim(0);
    }
}

/// What the allocator holds, in bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HeapUsage {
    /// Allocations that are in use, with the allocator's own part of each.
    pub allocated: usize,
    /// Memory between them that is free and was not returned to the system, or was returned page by page.
    pub free: usize,
}

/// What the allocator holds. It walks over all that is free, so it is for the log and not for each request.
#[cfg(all(target_os = "linux", target_env = "gnu"))]
pub fn heap_usage() -> HeapUsage {
    // SAFETY: mallinfo2 may be called at any time; it reads the allocator's figures under its own lock.
    let info = unsafe { libc::mallinfo2() };
    HeapUsage { allocated: info.uordblks + info.hblkhd, free: info.fordblks }
}

/// Nothing is known with this C library.
#[cfg(not(all(target_os = "linux", target_env = "gnu")))]
pub fn heap_usage() -> HeapUsage {
    HeapUsage::default()
}

/// Does nothing with this C library.
#[cfg(not(all(target_os = "linux", target_env = "gnu")))]
pub fn keep_little_free_memory() {}

/// Does nothing with this C library.
#[cfg(not(all(target_os = "linux", target_env = "gnu")))]
pub fn release_free_memory() {}
