//! Probed ports while processes start. Has a process of its own: all children must be started under the
//! lock of the probes.

use std::net::TcpListener;
use std::path::Path;

use demo::process::{Process, free_addresses};
use demo::role::Role;

/// Guards against a process that cannot bind its address since another one, which was being started when
/// the address was probed, still held the probe.
#[test]
fn free_addresses_can_be_bound_while_processes_start() {
    let log = std::env::temp_dir().join(format!("lapismoor-test-ports-{}", std::process::id()));
    let spawners: Vec<_> = (0..4)
        .map(|_| {
            let log = log.clone();
            std::thread::spawn(move || {
                let role = Role::KeyValue {
                    address: ([127, 0, 0, 1], 0).into(),
                };
                for _ in 0..200 {
                    let process = Process::start(Path::new("true"), &role, &log);
                    process.expect("a process").kill();
                }
            })
        })
        .collect();
    let mut rejected = Vec::new();
    while spawners.iter().any(|spawner| !spawner.is_finished()) {
        for address in free_addresses(10).expect("free ports") {
            rejected.extend(TcpListener::bind(address).err());
        }
    }
    for spawner in spawners {
        spawner.join().expect("no panic");
    }
    let _ = std::fs::remove_file(&log);
    assert!(rejected.is_empty(), "{rejected:?}");
}
