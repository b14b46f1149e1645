//! Loopback addresses for test clusters.

use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::sync::atomic::{AtomicU32, Ordering};

use crate::box_process::BoxAddresses;

/// Loopback addresses that no other cluster of this machine uses.
pub struct LoopbackNetwork {
    second: u8,
    third: u8,
}

impl LoopbackNetwork {
    /// Addresses that no other network of this machine has.
    pub fn new() -> LoopbackNetwork {
        static CLUSTERS: AtomicU32 = AtomicU32::new(0);
        let number = CLUSTERS.fetch_add(1, Ordering::SeqCst);
        LoopbackNetwork {
            second: 1 + (std::process::id() % 250) as u8,
            third: (number % 250) as u8,
        }
    }

    fn ip(&self, host: u8) -> IpAddr {
        IpAddr::V4(Ipv4Addr::new(127, self.second, self.third, host))
    }

    /// An address with any free port.
    pub fn address(&self, host: u8) -> SocketAddr {
        SocketAddr::new(self.ip(host), 0)
    }

    /// The addresses of a box, on an IP of its own.
    pub fn box_addresses(&self, index: usize) -> BoxAddresses {
        let ip = self.ip(10 + index as u8);
        BoxAddresses { traffic: free_address(ip), admin: free_address(ip), peer: free_address(ip) }
    }
}

/// An address whose port is free for TCP and UDP. Nothing else uses the IP, so it stays free.
fn free_address(ip: IpAddr) -> SocketAddr {
    loop {
        let listener = TcpListener::bind((ip, 0)).expect("loopback can be listened on");
        let address = listener.local_addr().expect("a listener has an address");
        if UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
}
