//! Loopback addresses for test clusters.

use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::sync::atomic::{AtomicU32, Ordering};

use crate::box_process::BoxAddresses;

/// Loopback addresses that no other cluster of this machine uses.
pub struct LoopbackNetwork {
    second: u8,
    third: u8,
}

impl Default for LoopbackNetwork {
    fn default() -> LoopbackNetwork {
        LoopbackNetwork::new()
    }
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
        let [traffic, admin, peer] = free_addresses(self.ip(10 + index as u8));
        BoxAddresses { traffic, admin, peer }
    }
}

/// Ports for boxes: below those that the system gives to outgoing connections, which would take a port
/// between the moment it is chosen and the moment the box listens there.
const PORTS: std::ops::Range<u16> = 12_000..32_000;
/// How far apart processes begin to choose, so that they seldom meet.
const PORT_STRIDE: u32 = 997;

/// Addresses whose ports were free for TCP and UDP a moment ago, and which this process does not choose again soon.
pub fn free_addresses<const COUNT: usize>(ip: IpAddr) -> [SocketAddr; COUNT] {
    static CHOSEN: AtomicU32 = AtomicU32::new(0);
    let count = u32::from(PORTS.end - PORTS.start);
    let begin = std::process::id().wrapping_mul(PORT_STRIDE);
    [(); COUNT].map(|()| {
        let choices = (0..count).map(|_| {
            let place = begin.wrapping_add(CHOSEN.fetch_add(1, Ordering::Relaxed)) % count;
            SocketAddr::new(ip, PORTS.start + place as u16)
        });
        let is_free = |address: &SocketAddr| {
            TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok()
        };
        choices.into_iter().find(is_free).expect("one of many ports is free")
    })
}
