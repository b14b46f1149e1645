//! Links between boxes: certificates of another authority and malformed packets.

use std::time::Duration;

use sedgehill_peer::{PeerIdentity, PeerLink, PeerMessage};
use sedgehill_standin::certificates::TestAuthority;
use sedgehill_standin::cluster::wait_for;

use crate::support::{small_plan, start_published};

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_box_with_a_foreign_certificate_is_refused_and_counted() {
    let cluster = start_published(&small_plan()).await;
    let directory = tempfile::tempdir().expect("a directory can be made");
    let foreign_authority = TestAuthority::new().expect("an authority can be made");
    let files = foreign_authority.issue("box-9", directory.path()).expect("files can be written");
    // The foreign box trusts the cluster's authority, so that only its own certificate is invalid.
    let authority = cluster.directory().join("authority.pem");
    let identity = PeerIdentity::load(&files.certificate, &files.key, &authority)
        .expect("the identity can be loaded");
    let any = "127.0.0.1:0".parse().expect("a valid address");
    let (link, _inbox) = PeerLink::bind(any, &identity).expect("loopback can be listened on");
    let target = &cluster.boxes[0];
    let answer =
        link.request(&target.id, target.addresses.peer, &PeerMessage::SnapshotRequest).await;
    assert!(answer.is_err(), "a box with a foreign certificate was answered: {answer:?}");
    wait_for("the refusal to be counted", async || {
        cluster.metric(0, "sedgehill_peer_connections_refused").await > Some(0.0)
    })
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn garbage_on_the_peer_port_does_no_harm() {
    let cluster = start_published(&small_plan()).await;
    let socket = tokio::net::UdpSocket::bind("127.0.0.1:0").await.expect("loopback can be used");
    for round in 0..200u32 {
        let bytes: Vec<u8> = (0..1200u32).map(|index| (index * 31 + round * 17) as u8).collect();
        let _ = socket.send_to(&bytes, cluster.boxes[0].addresses.peer).await;
    }
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert!(cluster.status(0).await.is_some());
}
