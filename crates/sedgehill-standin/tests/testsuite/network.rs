//! Addresses of test clusters.
//!
//! The ports of a box must be reserved together. When each port was released before the next one was drawn, two of
//! them could be the same: `could not listen on 127.154.44.12:44531 caused by: Address already in use`.

use std::collections::BTreeSet;

use sedgehill_standin::network::LoopbackNetwork;

/// Number of draws of all ports of a box; with the fault, two ports were the same once in some ten thousand.
const DRAWS: usize = 20_000;

#[test]
fn the_ports_of_a_box_differ() {
    let network = LoopbackNetwork::new();
    for draw in 0..DRAWS {
        let addresses = network.box_addresses(1);
        let all = [addresses.traffic, addresses.admin, addresses.peer];
        let ports: BTreeSet<u16> = all.iter().map(|address| address.port()).collect();
        assert_eq!(ports.len(), all.len(), "draw {draw}: {all:?}");
    }
}
