//! Addresses of test clusters.
//!
//! A box once could not listen: `could not listen on 127.154.44.12:44531 caused by: Address already in use`. Each of its
//! ports was drawn and given back before the next one was, so that two of them could be the same.

use std::collections::BTreeSet;

use sedgehill_standin::network::LoopbackNetwork;

/// Draws of all ports of a box: two of them were the same once in some ten thousand.
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
