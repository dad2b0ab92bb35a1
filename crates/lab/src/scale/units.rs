//! Quota exchange: what a shortage of units at one initiator costs the fleet.

use super::cost::{Cost, Size, measure, probe_all};
use super::cost_curves::{BY_INITIATORS, curve};
use crate::experiment::{Experiment, Runner};
use crate::failure::Failure;
use crate::outcome::Outcome;
use rowanglade_quota_exchange::{
    Key, Message, MilliUnits, Peer, QuotaExchange, TokenBuckets, decode, encode,
};

/// Curves of the probe `unit-lack`.
pub const EXPERIMENT: Experiment = Experiment {
    name: "scale-units",
    about: "the quota exchange during a shortage of units at one initiator, by initiators",
    runner: Runner::Plain(unit_curves),
};

const KEY: Key = [0x5a; 32];
const VOLUME: u64 = 7;
const SHORTAGE: MilliUnits = 20_000;

/// Token buckets of a peer that can spare all units that are requested.
struct SparePeer;

impl TokenBuckets for SparePeer {
    fn take_unused(&mut self, _volume: u64, max: MilliUnits) -> MilliUnits {
        max
    }

    fn add(&mut self, _volume: u64, _units: MilliUnits) {}
}

/// Cost for the requester of one shortage of a volume that all initiators serve: it requests units from all
/// others, and each of them responds. `wire` counts the bytes that it sends and receives.
pub fn shortage(size: Size) -> Result<Cost, Failure> {
    let now = 1_000_000;
    let request_units = || {
        let mut requester = QuotaExchange::new(1);
        requester.record_need(now, VOLUME, SHORTAGE, size.initiators);
        let message = requester.poll(now);
        (requester, message.map(|message| encode(&KEY, Peer(0), &message)))
    };
    let request_bytes = request_units()
        .1
        .ok_or(Failure::Unexpected("an initiator that lacks units did not send a request"))?;
    let request = decode(&KEY, Peer(0), &request_bytes)?;
    let peers = 1..u16::try_from(size.initiators)?;
    let respond = |peer: u16| -> Result<(Peer, Vec<u8>), Failure> {
        let response: Option<Message> =
            QuotaExchange::new(u64::from(peer)).handle_message(now, Peer(0), &request, &mut SparePeer);
        Ok((
            Peer(peer),
            encode(
                &KEY,
                Peer(peer),
                &response.ok_or(Failure::Unexpected("a peer that can spare units did not respond"))?,
            ),
        ))
    };
    let responses: Vec<(Peer, Vec<u8>)> = peers.map(respond).collect::<Result<_, _>>()?;
    let cost = measure(8, || {
        let (mut requester, _) = request_units();
        for (peer, response) in &responses {
            if let Ok(message) = decode(&KEY, *peer, response) {
                requester.handle_message(now, *peer, &message, &mut SparePeer);
            }
        }
        requester
    });
    let sent = request_bytes.len() * responses.len();
    let received: usize = responses.iter().map(|(_, response)| response.len()).sum();
    Ok(Cost { wire: (sent + received) as f64, ..cost })
}

fn unit_curves() -> Result<Outcome, Failure> {
    let mut out = Outcome::default();
    let shortage = probe_all("unit-lack")?;
    let bytes = curve("one lack, asked and answered", BY_INITIATORS, "KiB", &shortage, |c| c.wire / 1024.0)?;
    let time =
        curve("one lack at the asker", BY_INITIATORS, "ms of processor", &shortage, |c| c.processor * 1e3)?;
    out.claim(
        "the bytes of a shortage grow in proportion to the initiators",
        (0.95..1.05).contains(&bytes.exponent),
    );
    out.claim("the time of a shortage grows no faster than the initiators", time.exponent <= 1.2);
    for curve in [bytes, time] {
        out.curve(curve);
    }
    Ok(out)
}
