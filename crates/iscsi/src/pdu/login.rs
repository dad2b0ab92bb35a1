//! What a login's request and response share.

use super::RejectReason;
use super::header::{FINAL, FLAGS, Header, HeaderWriter, ISID, ITT, TSIH, read_u16, read_u32};
use bytes::Bytes;

/// Flag of a text that goes on in a further PDU.
const CONTINUES: u8 = 0x40;
/// The bits of a stage.
const STAGE_MASK: u8 = 0x03;
/// Where the bits of the present stage begin.
const CURRENT_STAGE_SHIFT: u8 = 2;

/// What a login's request and response share.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Login {
    /// The sender is ready to go on to the next stage.
    pub transit: bool,
    /// The present stage.
    pub current: u8,
    /// The next stage.
    pub next: u8,
    /// The initiator's part of the session's identifier.
    pub isid: [u8; 6],
    /// The target's part of the session's identifier.
    pub tsih: u16,
    /// The login's tag.
    pub itt: u32,
    /// The connection; only of a request.
    pub cid: u16,
    /// The command number; only of a request.
    pub cmd_sn: u32,
    /// The next status number that the initiator expects; only of a request.
    pub exp_stat_sn: u32,
    /// The text keys.
    pub data: Bytes,
}

impl Login {
    /// Decodes what both directions share.
    pub(super) fn decode(header: &Header, data: Bytes) -> Result<Login, RejectReason> {
        let flags = header[FLAGS];
        // The keys of a login fit into one PDU: a text that goes on is left out.
        if flags & CONTINUES != 0 {
            return Err(RejectReason::CommandNotSupported);
        }
        let mut isid = [0; 6];
        isid.copy_from_slice(&header[ISID..TSIH]);
        Ok(Login {
            transit: flags & FINAL != 0,
            current: flags >> CURRENT_STAGE_SHIFT & STAGE_MASK,
            next: flags & STAGE_MASK,
            isid,
            tsih: read_u16(header, TSIH),
            itt: read_u32(header, ITT),
            data,
            ..Login::default()
        })
    }

    /// Writes what both directions share, but for the data.
    pub(super) fn encode(&self, header: HeaderWriter) -> HeaderWriter {
        let transit = if self.transit { FINAL } else { 0 };
        let stages = (self.current & STAGE_MASK) << CURRENT_STAGE_SHIFT | self.next & STAGE_MASK;
        header.flags(transit | stages).bytes(ISID, &self.isid).u16(TSIH, self.tsih).u32(ITT, self.itt)
    }
}
