//! Tests of the encoding of frames between daemons.
//!
//! The tests guard against a frame that changes when it is encoded and decoded, against
//! heartbeats that grow unnoticed, and against malformed or truncated bytes that are
//! accepted as a frame.

use coordination::{Frame, FrameBody, PeerStatus, TeamService};
use protocol::{decode_frame, encode_frame};
use rstest::rstest;
use state::{DaemonRef, Incarnation, Moment, Revision};

fn heartbeat_frame(team_count: usize) -> Frame {
    let team_service = |team: usize| TeamService {
        team: format!("team-{team}").parse().expect("valid team id"),
        service: 12_345,
    };
    let from: DaemonRef = "entry-1@1700000000000".parse().expect("valid daemon reference");
    let status = PeerStatus {
        config: Revision(1_000),
        members: Revision(2_000),
        fleet: Revision(3_000),
        service: (0..team_count).map(team_service).collect(),
        ..PeerStatus::default()
    };
    Frame {
        from,
        to: Incarnation(1_700_000_000_000),
        sent: Moment(100_000),
        echo: Moment(99_500),
        status,
        body: FrameBody::Beat,
    }
}

#[test]
fn frame_round_trips() {
    assert_eq!(decode_frame(&encode_frame(&heartbeat_frame(6))), Ok(heartbeat_frame(6)));
}

#[test]
fn heartbeat_size_matches_snapshot() {
    let sizes: Vec<(usize, usize)> = [0, 4]
        .map(|team_count| (team_count, encode_frame(&heartbeat_frame(team_count)).len()))
        .into();
    insta::assert_debug_snapshot!(sizes);
}

#[rstest]
#[case(b"")]
#[case(b"\xff\xff\xff")]
#[case(b"{\"from\": 1}")]
#[case(&[0x9b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff])]
fn malformed_bytes_are_refused(#[case] bytes: &[u8]) {
    assert!(decode_frame(bytes).is_err());
}

#[test]
fn truncated_frame_is_refused() {
    let bytes = encode_frame(&heartbeat_frame(6));
    for length in 0..bytes.len() {
        assert!(
            decode_frame(&bytes[..length]).is_err(),
            "the first {length} bytes were accepted as a frame"
        );
    }
}
