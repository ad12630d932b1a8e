//! Spread of shards over daemons of different capacity.

use std::fmt::Write;

use fleet::model::{DaemonCapacity, LinkRate};
use fleet::{OwnKey, ShardKey, StoreKey, acquire_delay};
use state::{DaemonId, Millicores};

use crate::seeded_runs::build_config;
use crate::simulation::Simulation;

const SMALL_VM: DaemonCapacity =
    DaemonCapacity { processor: Millicores(120), link: LinkRate(10_000) };
const LARGE_VM: DaemonCapacity =
    DaemonCapacity { processor: Millicores(1_000), link: LinkRate(1_000_000) };

/// Guards against a change of the order in which daemons acquire a free shard, and against delays
/// without a bound.
#[test]
fn acquire_delay_grows_with_load_and_shrinks_with_capacity() {
    let daemon: DaemonId = "edge-0".parse().expect("valid name");
    let capacities = [
        ("small VM", SMALL_VM),
        ("slow link", DaemonCapacity { link: LinkRate(50_000), ..DaemonCapacity::default() }),
        ("standard", DaemonCapacity::default()),
        ("large VM", LARGE_VM),
    ];
    let mut table = String::new();
    for (name, capacity) in capacities {
        let delay = |count| acquire_delay(&daemon, capacity, &ShardKey::VmController, count);
        let delays: Vec<String> = [0, 1, 2, 4, 100].map(|count| delay(count).to_string()).into();
        writeln!(table, "{name}: {}", delays.join(", ")).expect("written to memory");
    }
    insta::assert_snapshot!(table);
}

/// Returns the daemons that own the shards, in the order of the shards.
fn list_owners(simulation: &Simulation) -> Vec<String> {
    let pools = ["pool-0", "pool-1"].map(|pool| ShardKey::Pool(pool.parse().expect("valid name")));
    let shards = pools.into_iter().chain([ShardKey::VmController]);
    let find_owner = |shard: ShardKey| {
        let item = simulation.store.get(&StoreKey::Own(OwnKey::Owner(shard)))?;
        let fleet::io::ItemValue::Own(bytes) = &item.value else { return None };
        let owner: fleet::OwnerRecord = serde_json::from_slice(bytes).expect("a record");
        Some(owner.daemon.to_string())
    };
    shards.map(|shard| find_owner(shard).unwrap_or_default()).collect()
}

/// Guards against pools that are owned by daemons with little processor time while daemons with
/// more of it own nothing.
#[test]
fn larger_vms_own_the_shards() {
    for seed in 0..20 {
        let mut simulation = Simulation::new(seed, 12, build_config());
        for daemon in 0..9 {
            simulation.daemons[daemon].capacity = SMALL_VM;
            simulation.start_daemon(daemon);
        }
        simulation.run_until(4_000);
        let mut owners = list_owners(&simulation);
        owners.sort();
        assert_eq!(owners, ["edge-10", "edge-11", "edge-9"], "seed {seed}");
    }
}

/// Guards against shards that stay without an owner because only small VMs are left.
#[test]
fn small_vms_own_the_shards_if_there_are_no_others() {
    for seed in 0..20 {
        let mut simulation = Simulation::new(seed, 3, build_config());
        for daemon in 0..3 {
            simulation.daemons[daemon].capacity = SMALL_VM;
            simulation.start_daemon(daemon);
        }
        simulation.run_until(4_000);
        let mut owners = list_owners(&simulation);
        owners.sort();
        assert_eq!(owners, ["edge-0", "edge-1", "edge-2"], "seed {seed}");
    }
}
