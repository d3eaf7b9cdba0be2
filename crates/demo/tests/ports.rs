//! Assignment of free loopback ports to the processes of fleets.

use std::net::{SocketAddr, TcpListener};

use demo::process::{PortRanges, free_addresses, free_listener};

/// Two fleets of one process must not get the same port, and none an ephemeral port, which an
/// outgoing connection can take before the port is bound.
#[test]
fn free_addresses_are_distinct_and_below_the_ephemeral_ports() {
    let mut ports = Vec::new();
    for _ in 0..50 {
        let addresses = free_addresses(30).expect("free ports");
        ports.extend(addresses.iter().map(SocketAddr::port));
    }
    assert!(ports.iter().all(|port| *port < 32_768));
    let count = ports.len();
    ports.sort_unstable();
    ports.dedup();
    assert_eq!(ports.len(), count);
    assert!(TcpListener::bind(("127.0.0.1", ports[0])).is_ok());
}

/// A child process that is being started holds the sockets of its parent until its program is
/// executed, so that a port that was only probed can still be in use when it is bound again.
#[test]
fn free_listener_succeeds_while_child_processes_start() {
    let spawner = std::thread::spawn(|| {
        for _ in 0..50 {
            let child = std::process::Command::new("true").spawn();
            child.expect("a process").wait().expect("its exit status");
        }
    });
    for _ in 0..200 {
        let listener = free_listener().expect("a free port");
        assert!(
            listener
                .local_addr()
                .is_ok_and(|address| address.port() < 32_768)
        );
    }
    spawner.join().expect("no panic");
}

/// Guards against a daemon that can't listen again after a restart, as another program gave its port to a
/// process of its own meanwhile.
#[test]
fn programs_at_the_same_time_have_different_ports() {
    let mut programs = [PortRanges::new(), PortRanges::new(), PortRanges::new()];
    let mut ports = Vec::new();
    for _ in 0..600 {
        for program in &mut programs {
            ports.push(program.next_address().expect("a range").port());
        }
    }
    let count = ports.len();
    ports.sort_unstable();
    ports.dedup();
    assert_eq!(ports.len(), count);
}

/// Guards against a program that leaves no range to others, or none to itself.
#[test]
fn program_starts_over_in_its_own_ranges() {
    let mut program = PortRanges::new();
    let mut ports = Vec::new();
    for _ in 0..5_000 {
        ports.push(program.next_address().expect("a range").port());
    }
    let mut different = ports.clone();
    different.sort_unstable();
    different.dedup();
    assert_eq!(different.len(), 9 * 249);
    assert_eq!(ports[..9 * 249], ports[9 * 249..2 * 9 * 249]);
}
