//! Tests of the PDU layouts against RFC 7143.

use bytes::Bytes;
use rowanglade_iscsi::pdu::{HEADER_BYTES, Header, Login, Pdu, Residual, Sequence, lengths};

// Both directions share one definition of each PDU. If a field stood at a wrong position in both, tests in
// which both sides use this crate would still pass, so the layout of a command is compared with the RFC.
#[test]
fn encoded_pdus_decode_to_the_same_value_and_a_command_has_the_layout_of_the_rfc() {
    let seq = Sequence { stat_sn: 11, exp_cmd_sn: 12, max_cmd_sn: 13 };
    let (lun, itt, ttt, cmd_sn, exp_stat_sn) = (0x0102_0304_0506_0708, 9, 10, 14, 15);
    let (data, residual, parameters) = (Bytes::from_static(b"abc"), Residual::Under(5), [1, 2, 3]);
    let (isid, immediate, cid) = ([1, 2, 3, 4, 5, 6], true, 3);
    let login =
        Login { transit: true, current: 1, next: 3, isid, itt, data: data.clone(), ..Login::default() };
    let request = Login { cid, cmd_sn, exp_stat_sn, ..login.clone() };
    let status = Some((0, residual));
    let pdus = [
        Pdu::NopOut { immediate, lun, itt, ttt, cmd_sn, exp_stat_sn, data: data.clone() },
        Pdu::TaskRequest { immediate, function: 1, lun, itt, referenced: 4, cmd_sn, exp_stat_sn },
        Pdu::LoginRequest(request),
        Pdu::DataOut { last: true, lun, itt, ttt, exp_stat_sn, data_sn: 1, offset: 2, data: data.clone() },
        Pdu::LogoutRequest { immediate, reason: 0, itt, cid, cmd_sn, exp_stat_sn },
        Pdu::NopIn { lun, itt, ttt, seq, data: data.clone() },
        Pdu::ScsiResponse { response: 0, status: 8, qualifier: 2, itt, seq, residual, data: data.clone() },
        Pdu::TaskResponse { response: 1, itt, seq },
        Pdu::LoginResponse { login, seq, status: 0x0203 },
        Pdu::DataIn { last: true, status, itt, seq, data_sn: 1, offset: 2, data: data.clone() },
        Pdu::LogoutResponse { response: 0, itt, seq },
        Pdu::R2t { lun, itt, ttt, seq, r2t_sn: 1, offset: 2, length: 3 },
        Pdu::Async { event: 1, seq, parameters },
        Pdu::Reject { reason: 4, seq, data },
    ];
    for pdu in pdus {
        let bytes = pdu.encode();
        let header: Header = bytes[..HEADER_BYTES].try_into().expect("a header");
        let (additional, length) = lengths(&header);
        assert_eq!((additional, bytes.len() % 4), (0, 0));
        assert_eq!(Pdu::decode(&header, bytes.slice(HEADER_BYTES..HEADER_BYTES + length)), Ok(pdu));
    }

    let (cdb, length, data) = ([0x88; 16], 512, Bytes::new());
    let (last, read, write) = (true, true, false);
    let command =
        Pdu::ScsiCommand { immediate, last, read, write, lun, itt, length, cmd_sn, exp_stat_sn, cdb, data };
    // RFC 7143, 11.3: opcode and I; F, R and ATTR; lengths; LUN; tag; transfer length; numbers; CDB.
    let expected = [
        &[
            0x41, 0xc1, 0, 0, 0, 0, 0, 0, 1, 2, 3, 4, 5, 6, 7, 8, 0, 0, 0, 9, 0, 0, 2, 0, 0, 0, 0, 14, 0, 0,
            0, 15,
        ],
        &[0x88; 16][..],
    ]
    .concat();
    assert_eq!(command.encode(), expected);
}
