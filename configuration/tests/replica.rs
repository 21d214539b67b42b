//! A process that asks its peers takes the highest version and never goes back.

mod support;

use almondwell_configuration::{Node, answer, heard, join};
use almondwell_schema::{Frame, Snapshot, Version};
use almondwell_wire::{Connection, Seal};
use async_std::net::TcpListener;
use async_std::task;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use support::Process;

/// A peer that answers each fetch with `version` and the text `config`.
async fn peer(version: Version, config: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    task::spawn(async move {
        while let Ok((tcp, _)) = listener.accept().await {
            let mut connection = Connection::over(tcp, Seal::new("test")).expect("a connection");
            let Ok(Some(Frame::Fetch(_))) = connection.read().await else {
                continue;
            };
            let snapshot = Snapshot {
                version,
                config: config.into(),
                instances: Vec::new(),
            };
            let _ = connection.write(&snapshot.into()).await;
        }
    });
    address
}

/// No store is there.
const NOWHERE: SocketAddr = SocketAddr::V4(SocketAddrV4::new(Ipv4Addr::LOCALHOST, 1));
const CONFIG: &str = r#"{"author": "mika", "publish": 1, "replaced": [], "services": []}"#;

#[test]
fn a_start_takes_the_highest_of_all_peers() {
    task::block_on(async {
        let peers = [
            peer(3, CONFIG).await,
            peer(5, CONFIG).await,
            peer(4, CONFIG).await,
        ];
        let process = Process::new(NOWHERE);
        join(&process, &peers).await;
        assert_eq!(process.adopted(), [5]);
        assert_eq!(process.replica().version(), 5);
    });
}

#[test]
fn a_lower_version_is_never_put_in_force() {
    task::block_on(async {
        let process = Process::new(NOWHERE);
        join(&process, &[peer(5, CONFIG).await]).await;
        join(&process, &[peer(4, CONFIG).await]).await;
        heard(&process, 9, peer(4, CONFIG).await).await;
        assert_eq!(process.adopted(), [5]);
        heard(&process, 9, peer(6, CONFIG).await).await;
        assert_eq!(process.adopted(), [5, 6]);
    });
}

#[test]
fn a_configuration_that_does_not_decode_is_passed_over() {
    task::block_on(async {
        let process = Process::new(NOWHERE);
        join(&process, &[peer(5, "{").await, peer(4, CONFIG).await]).await;
        assert_eq!(process.replica().version(), 0);
        join(&process, &[peer(4, CONFIG).await]).await;
        assert_eq!(process.adopted(), [4]);
    });
}

#[test]
fn peers_get_what_a_process_holds() {
    task::block_on(async {
        let process = Process::new(NOWHERE);
        join(&process, &[peer(5, CONFIG).await]).await;
        let fetch = almondwell_schema::Fetch { instances: false };
        let Frame::Snapshot(snapshot) = answer(&process, &fetch) else {
            panic!("no snapshot");
        };
        assert_eq!(snapshot.version, 5);
        assert_eq!(snapshot.config, CONFIG.as_bytes());
    });
}
