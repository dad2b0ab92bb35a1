//! Cost of an endpoint list and its changes for an initiator, by number of targets, without sockets.

use super::cost::probe_all;
use super::cost_curves::{BY_TARGETS, curve};
use crate::experiment::{Experiment, Runner};
use crate::failure::Failure;
use crate::outcome::Outcome;

/// Curves of the probes of [`super::lists`].
pub const EXPERIMENT: Experiment = Experiment {
    name: "scale-lists",
    about: "decoding an endpoint list and applying its changes, by targets, without sockets",
    runner: Runner::Plain(list_curves),
};

fn list_curves() -> Result<Outcome, Failure> {
    let mut out = Outcome::default();
    let (decode, encode) = (probe_all("list-decode")?, probe_all("list-encode")?);
    let (change, module) = (probe_all("list-change")?, probe_all("module-change")?);
    let request = probe_all("module-request")?;
    let (new_object, empty) = (probe_all("module-new-object")?, probe_all("module-empty-change")?);
    let wire = curve("a whole list, compact JSON", BY_TARGETS, "KiB", &decode, |c| c.wire / 1024.0)?;
    let decoding =
        curve("a whole list is decoded", BY_TARGETS, "ms of processor", &decode, |c| c.processor * 1e3)?;
    let decoded_size = curve("a decoded list is kept", BY_TARGETS, "KiB", &decode, |c| c.state / 1024.0)?;
    let encoding =
        curve("a whole list is encoded", BY_TARGETS, "ms of processor", &encode, |c| c.processor * 1e3)?;
    let change_time =
        curve("a change of one target", BY_TARGETS, "ms of processor", &change, |c| c.processor * 1e3)?;
    let module =
        curve("the module's part of it", BY_TARGETS, "ms of processor", &module, |c| c.processor * 1e3)?;
    let core = curve("the core's state of the list", BY_TARGETS, "KiB", &change, |c| c.state / 1024.0)?;
    let request =
        curve("a request in the module", BY_TARGETS, "ms of processor", &request, |c| c.processor * 1e3)?;
    let new_object = curve("a request for a new object", BY_TARGETS, "ms of processor", &new_object, |c| {
        c.processor * 1e3
    })?;
    let empty = curve("an empty change", BY_TARGETS, "us of processor", &empty, |c| c.processor * 1e6)?;
    out.claim(
        "the cost of a request for a new object does not grow with the endpoint list",
        new_object.exponent <= 0.5,
    );
    out.claim("the cost of an empty change does not grow with the endpoint list", empty.exponent <= 0.5);
    out.claim(
        "the bytes of an endpoint list grow in proportion to the targets",
        (0.95..1.05).contains(&wire.exponent),
    );
    out.claim("decoding time grows no faster than the endpoint list", decoding.exponent <= 1.2);
    out.claim("the core's state grows no faster than the endpoint list", core.exponent <= 1.1);
    out.claim(
        "the cost of a change of one target does not grow with the endpoint list",
        change_time.exponent <= 0.5,
    );
    out.claim("the cost of a request does not grow with the endpoint list", request.exponent <= 0.5);
    for curve in
        [wire, decoding, decoded_size, encoding, change_time, module, request, new_object, empty, core]
    {
        out.curve(curve);
    }
    Ok(out)
}
