//! The fields that the requests and responses of a login share.

use super::RejectReason;
use super::header::{FINAL, FLAGS, Header, HeaderWriter, ISID, ITT, TSIH, read_u16, read_u32};
use bytes::Bytes;

/// Flag of a text that continues in another PDU.
const CONTINUES: u8 = 0x40;
/// The bits of a stage.
const STAGE_MASK: u8 = 0x03;
/// Position of the bits of the current stage.
const CURRENT_STAGE_SHIFT: u8 = 2;

/// The fields that the requests and responses of a login share.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Login {
    /// Whether the sender is ready to move from the current stage to the next.
    pub transit: bool,
    /// The current stage (CSG): 0 security, 1 operational, 3 full feature phase.
    pub current: u8,
    /// The stage that follows if `transit` is set (NSG); values as in `current`.
    pub next: u8,
    /// The initiator's part of the session identifier.
    pub isid: [u8; 6],
    /// The target's part of the session identifier.
    pub tsih: u16,
    /// The initiator task tag of the login.
    pub itt: u32,
    /// The connection ID; only in a request.
    pub cid: u16,
    /// The command number; only in a request.
    pub cmd_sn: u32,
    /// The next status number that the initiator expects; only in a request.
    pub exp_stat_sn: u32,
    /// The text keys and their values.
    pub data: Bytes,
}

impl Login {
    /// Decodes the fields that both directions share.
    pub(super) fn decode(header: &Header, data: Bytes) -> Result<Login, RejectReason> {
        let flags = header[FLAGS];
        // The keys of a login fit into one PDU: continued text is not supported.
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

    /// Writes the fields that both directions share, except the data.
    pub(super) fn encode(&self, header: HeaderWriter) -> HeaderWriter {
        let transit = if self.transit { FINAL } else { 0 };
        let stages = (self.current & STAGE_MASK) << CURRENT_STAGE_SHIFT | self.next & STAGE_MASK;
        header.flags(transit | stages).bytes(ISID, &self.isid).u16(TSIH, self.tsih).u32(ITT, self.itt)
    }
}
