//! Frames survive their bytes, their size is known, and other bytes are refused.

use coordination::{Frame, FrameBody, PeerStatus, TeamService};
use protocol::{decode_frame, encode_frame};
use rstest::rstest;
use state::{DaemonRef, Incarnation, Moment, Revision};

fn frame(teams: usize) -> Frame {
    let service = |team: usize| TeamService {
        team: format!("team-{team}").parse().expect("an id"),
        service: 12_345,
    };
    let from: DaemonRef = "entry-1@1700000000000".parse().expect("a run");
    let note = PeerStatus {
        config: Revision(1_000),
        members: Revision(2_000),
        fleet: Revision(3_000),
        service: (0..teams).map(service).collect(),
        ..PeerStatus::default()
    };
    Frame {
        from,
        to: Incarnation(1_700_000_000_000),
        sent: Moment(100_000),
        echo: Moment(99_500),
        note,
        body: FrameBody::Beat,
    }
}

#[test]
fn a_frame_survives_its_bytes() {
    assert_eq!(decode_frame(&encode_frame(&frame(6))), Ok(frame(6)));
}

#[test]
fn the_size_of_a_heartbeat_is_known() {
    let sizes: Vec<(usize, usize)> =
        [0, 4].map(|teams| (teams, encode_frame(&frame(teams)).len())).into();
    insta::assert_debug_snapshot!(sizes);
}

#[rstest]
#[case(b"")]
#[case(b"\xff\xff\xff")]
#[case(b"{\"from\": 1}")]
#[case(&[0x9b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff])]
fn other_bytes_are_refused(#[case] bytes: &[u8]) {
    assert!(decode_frame(bytes).is_err());
}

#[test]
fn a_frame_that_was_cut_off_is_refused() {
    let bytes = encode_frame(&frame(6));
    for length in 0..bytes.len() {
        assert!(decode_frame(&bytes[..length]).is_err(), "{length} bytes were taken");
    }
}
