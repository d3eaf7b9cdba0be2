//! Ports of fleets that start at the same time.

use std::net::{SocketAddr, TcpListener};

use demo::process::free_addresses;

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
