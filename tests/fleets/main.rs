//! Fleets of real processes before many targets, and under faults of system calls.
//!
//! They have a program of their own: thousands of stub targets take as many descriptors, and the stories in
//! `tests/network` whose initiators run inside the test's process count the descriptors of that process.

mod faults;
mod many_targets;
