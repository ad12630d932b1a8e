//! Guards the limits on clients: defaults that no ordinary client reaches, that fit into the VM,
//! and faults of overrides that are all reported at once.

use rstest::rstest;
use state::{
    ClientAddress, ClientLimits, ClientOverrides, Mebibytes, VmResources, parse_daemon_settings,
};

const ADDRESSES: [ClientAddress; 4] = [
    ClientAddress::Requests,
    ClientAddress::Readiness,
    ClientAddress::Internal,
    ClientAddress::Peers,
];
/// An ordinary request: a head under 2 KB and a body under 64 KB.
const ORDINARY_HEAD_BYTES: usize = 2_000;
const ORDINARY_BODY_BYTES: usize = 64_000;

fn limits(memory_mib: u32, descriptors: u64) -> ClientLimits {
    let memory = Some(Mebibytes(memory_mib));
    ClientLimits::for_vm(VmResources { memory, descriptors: Some(descriptors) })
}

#[test]
fn limits_of_the_deployments() {
    let table: Vec<String> = [(160, 4_100), (512, 8_192), (260, 4_100), (96, 400)]
        .into_iter()
        .flat_map(|(memory, descriptors)| {
            let limits = limits(memory, descriptors);
            ADDRESSES.map(|address| {
                let share = limits.of(address);
                let busy = share.memory_bytes / share.busy_connection_bytes();
                format!(
                    "{memory} MB, {descriptors} descriptors, {}: {} KiB, {} connections, at most \
                     {} idle or {busy} busy, body {}",
                    address.label(),
                    share.memory_bytes >> 10,
                    share.connections,
                    share.memory_bytes / share.idle_connection_bytes(),
                    share.body_bytes,
                )
            })
        })
        .collect();
    insta::assert_snapshot!(table.join("\n"));
}

#[rstest]
fn an_ordinary_request_fits_on_every_vm(
    #[values(16, 32, 96, 160, 260, 512, 1 << 20)] memory_mib: u32,
    #[values(0, 256, 1_024, 4_100, 8_192, 1 << 20)] descriptors: u64,
) {
    let limits = limits(memory_mib, descriptors);
    assert!(limits.with_overrides(&ClientOverrides::default()).is_ok());
    for address in ADDRESSES {
        let share = limits.of(address);
        let request = share.busy_connection_bytes() + ORDINARY_BODY_BYTES as u64;
        assert!(share.head_bytes >= ORDINARY_HEAD_BYTES);
        assert!(share.body_bytes >= ORDINARY_BODY_BYTES);
        assert!(share.memory_bytes >= request, "{address:?}: {}", share.memory_bytes);
        assert!(share.connections >= 3, "{address:?}: {}", share.connections);
    }
}

#[test]
fn connections_leave_descriptors_for_files_and_outgoing_calls() {
    assert!(limits(160, 4_100).connections <= 4_100 - 200 - 2_000);
    assert!(limits(512, 8_192).connections <= 8_192 - 200 - 2_000);
}

#[test]
fn faults_of_overrides_are_reported_with_their_lines() {
    let text = r#"{
      "daemon": "entry-1",
      "vm": "vm-1",
      "data_centre": "a",
      "listen": "127.0.0.1:1",
      "peer_listen": "127.0.0.1:2",
      "platform": "127.0.0.1:3",
      "operator_key": "00000000000000000000000000000000:KEY",
      "vm_memory_mb": 1,
      "vm_descriptors": "many",
      "client_memory_mb": 10,
      "client_body_bytes": 60000000,
      "client_head_bytes": 100,
      "client_idle_ms": 0,
      "client_connections": 1
    }"#;
    let text = text.replace("KEY", &"0".repeat(64));
    let faults = parse_daemon_settings(&text).expect_err("the text has faults");
    let faults: Vec<String> = faults.iter().map(ToString::to_string).collect();
    insta::assert_snapshot!(faults.join("\n"));
}
