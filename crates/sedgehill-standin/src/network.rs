//! Loopback addresses for test clusters.

use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::sync::atomic::{AtomicU32, Ordering};

use crate::box_process::BoxAddresses;

/// Loopback IP addresses for one cluster, apart from those of other clusters on this machine.
pub struct LoopbackNetwork {
    second_octet: u8,
    third_octet: u8,
}

impl Default for LoopbackNetwork {
    fn default() -> LoopbackNetwork {
        LoopbackNetwork::new()
    }
}

impl LoopbackNetwork {
    /// Creates a network whose octets derive from the process id and the number of networks in this process.
    pub fn new() -> LoopbackNetwork {
        static NETWORKS: AtomicU32 = AtomicU32::new(0);
        let number = NETWORKS.fetch_add(1, Ordering::SeqCst);
        LoopbackNetwork {
            second_octet: 1 + (std::process::id() % 250) as u8,
            third_octet: (number % 250) as u8,
        }
    }

    fn ip(&self, host: u8) -> IpAddr {
        IpAddr::V4(Ipv4Addr::new(127, self.second_octet, self.third_octet, host))
    }

    /// Returns the address of a host with port 0, so that the system chooses a free port.
    pub fn address(&self, host: u8) -> SocketAddr {
        SocketAddr::new(self.ip(host), 0)
    }

    /// Returns free addresses for a box, on an IP address of its own.
    pub fn box_addresses(&self, index: usize) -> BoxAddresses {
        let [traffic, admin, peer] = free_addresses(self.ip(10 + index as u8));
        BoxAddresses { traffic, admin, peer }
    }
}

/// Ports for boxes. They lie below the range that the system uses for outgoing connections, which could take a port
/// after it is chosen and before the box listens there.
const BOX_PORTS: std::ops::Range<u16> = 12_000..32_000;
/// Distance between the first ports that processes with successive ids try, so that they seldom choose the same.
const PORT_STRIDE: u32 = 997;

/// Returns addresses whose ports are free for TCP and UDP at this moment. This process does not return a port again
/// before it has tried all others.
pub fn free_addresses<const COUNT: usize>(ip: IpAddr) -> [SocketAddr; COUNT] {
    static TRIED: AtomicU32 = AtomicU32::new(0);
    let count = u32::from(BOX_PORTS.end - BOX_PORTS.start);
    let first = std::process::id().wrapping_mul(PORT_STRIDE);
    [(); COUNT].map(|()| {
        let candidates = (0..count).map(|_| {
            let index = first.wrapping_add(TRIED.fetch_add(1, Ordering::Relaxed)) % count;
            SocketAddr::new(ip, BOX_PORTS.start + index as u16)
        });
        let is_free = |address: &SocketAddr| {
            TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok()
        };
        candidates.into_iter().find(is_free).expect("a port for boxes is free")
    })
}
