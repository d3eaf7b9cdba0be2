//! Ports of fleets that start at the same time.

use std::net::{SocketAddr, TcpListener};

use demo::process::{free_addresses, free_listener};

/// Many fleets of one test process, and outgoing connections beside them.
#[test]
fn no_port_is_given_twice_or_left_to_outgoing_connections() {
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

/// Other threads start processes meanwhile, which hold the sockets of this one until they begin.
#[test]
fn a_listener_is_had_while_processes_start() {
    let starting = std::thread::spawn(|| {
        for _ in 0..50 {
            let child = std::process::Command::new("true").spawn();
            child.expect("a process").wait().expect("its end");
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
    starting.join().expect("no panic");
}
