//! Tests of fleets of real processes, before thousands of targets and under faults of system calls.
//!
//! They have their own test binary because thousands of stub targets need as many descriptors, while tests in
//! `tests/network` run initiators in the test's process and count its descriptors.

mod faults;
mod many_targets;
