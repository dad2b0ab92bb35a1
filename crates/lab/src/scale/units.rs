//! Quota exchange: what a shortage of units at one initiator costs the fleet.

use super::cost::{Cost, Size, measure, probe_all};
use super::cost_curves::{BY_INSTANCES, curve};
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
const LACK: MilliUnits = 20_000;

/// Token buckets of a peer that can spare all units that are requested.
struct Spare;

impl TokenBuckets for Spare {
    fn take_unused(&mut self, _volume: u64, max: MilliUnits) -> MilliUnits {
        max
    }

    fn add(&mut self, _volume: u64, _units: MilliUnits) {}
}

/// Cost for the requester of one shortage of a volume that all initiators serve: it requests units from all
/// others, and each of them responds. `wire` counts the bytes that it sends and receives.
pub fn lack(size: Size) -> Result<Cost, Failure> {
    let now = 1_000_000;
    let ask = || {
        let mut asker = QuotaExchange::new(1);
        asker.record_need(now, VOLUME, LACK, size.instances);
        let message = asker.poll(now);
        (asker, message.map(|message| encode(&KEY, Peer(0), &message)))
    };
    let asked = ask().1.ok_or(Failure::Unexpected("an initiator that lacks units did not send a request"))?;
    let heard = decode(&KEY, Peer(0), &asked)?;
    let peers = 1..u16::try_from(size.instances)?;
    let answer = |peer: u16| -> Result<(Peer, Vec<u8>), Failure> {
        let given: Option<Message> =
            QuotaExchange::new(u64::from(peer)).handle_message(now, Peer(0), &heard, &mut Spare);
        Ok((
            Peer(peer),
            encode(
                &KEY,
                Peer(peer),
                &given.ok_or(Failure::Unexpected("a peer that can spare units did not respond"))?,
            ),
        ))
    };
    let answers: Vec<(Peer, Vec<u8>)> = peers.map(answer).collect::<Result<_, _>>()?;
    let cost = measure(8, || {
        let (mut asker, _) = ask();
        for (peer, given) in &answers {
            if let Ok(message) = decode(&KEY, *peer, given) {
                asker.handle_message(now, *peer, &message, &mut Spare);
            }
        }
        asker
    });
    let sent = asked.len() * answers.len();
    let received: usize = answers.iter().map(|(_, given)| given.len()).sum();
    Ok(Cost { wire: (sent + received) as f64, ..cost })
}

fn unit_curves() -> Result<Outcome, Failure> {
    let mut out = Outcome::default();
    let lack = probe_all("unit-lack")?;
    let bytes = curve("one lack, asked and answered", BY_INSTANCES, "KiB", &lack, |c| c.wire / 1024.0)?;
    let time = curve("one lack at the asker", BY_INSTANCES, "ms of processor", &lack, |c| c.processor * 1e3)?;
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
