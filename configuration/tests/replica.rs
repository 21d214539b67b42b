//! A process that fetches from its peers adopts the highest version, and its version never decreases.

mod support;

use almondwell_configuration::{Node, answer, join, observe_version};
use almondwell_schema::{Frame, Snapshot, Version};
use almondwell_wire::{Connection, Seal};
use async_std::net::TcpListener;
use async_std::task;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use support::Process;

/// Starts a peer that answers each fetch with `version` and the text `config`; returns its address.
async fn start_peer(version: Version, config: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("cannot bind a loopback port");
    let address = listener
        .local_addr()
        .expect("listener has no local address");
    task::spawn(async move {
        while let Ok((tcp, _)) = listener.accept().await {
            let mut connection = Connection::from_tcp(tcp, Seal::new("test"))
                .expect("cannot set TCP_NODELAY on the connection");
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

/// Address of the store; nothing listens there.
const UNUSED_ADDRESS: SocketAddr = SocketAddr::V4(SocketAddrV4::new(Ipv4Addr::LOCALHOST, 1));
const CONFIG: &str = r#"{"author": "mika", "publish": 1, "replaced": [], "services": []}"#;

#[test]
fn join_adopts_the_highest_version_of_all_peers() {
    task::block_on(async {
        let peers = [
            start_peer(3, CONFIG).await,
            start_peer(5, CONFIG).await,
            start_peer(4, CONFIG).await,
        ];
        let process = Process::new(UNUSED_ADDRESS);
        join(&process, &peers).await;
        assert_eq!(process.adopted(), [5]);
        assert_eq!(process.replica().version(), 5);
    });
}

#[test]
fn a_lower_version_is_never_adopted() {
    task::block_on(async {
        let process = Process::new(UNUSED_ADDRESS);
        join(&process, &[start_peer(5, CONFIG).await]).await;
        join(&process, &[start_peer(4, CONFIG).await]).await;
        observe_version(&process, 9, start_peer(4, CONFIG).await).await;
        assert_eq!(process.adopted(), [5]);
        observe_version(&process, 9, start_peer(6, CONFIG).await).await;
        assert_eq!(process.adopted(), [5, 6]);
    });
}

#[test]
fn a_malformed_configuration_is_skipped() {
    task::block_on(async {
        let process = Process::new(UNUSED_ADDRESS);
        join(
            &process,
            &[start_peer(5, "{").await, start_peer(4, CONFIG).await],
        )
        .await;
        assert_eq!(process.replica().version(), 0);
        join(&process, &[start_peer(4, CONFIG).await]).await;
        assert_eq!(process.adopted(), [4]);
    });
}

#[test]
fn a_fetch_returns_the_current_configuration() {
    task::block_on(async {
        let process = Process::new(UNUSED_ADDRESS);
        join(&process, &[start_peer(5, CONFIG).await]).await;
        let fetch = almondwell_schema::Fetch { instances: false };
        let Frame::Snapshot(snapshot) = answer(&process, &fetch) else {
            panic!("expected a snapshot in answer to a fetch, got another frame");
        };
        assert_eq!(snapshot.version, 5);
        assert_eq!(snapshot.config, CONFIG.as_bytes());
    });
}
