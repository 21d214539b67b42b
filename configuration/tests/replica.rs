//! A process that asks its peers takes the highest version and never goes back.

use almondwell_configuration::{Node, Replica, answer, heard, join};
use almondwell_platform::Objects;
use almondwell_schema::{Config, Datagram, Frame, Instance, Snapshot, Version};
use almondwell_wire::{Connection, Seal};
use async_std::net::TcpListener;
use async_std::task;
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};

/// A process without a platform, which notes what it puts in force.
struct Process {
    adopted: Mutex<Vec<Version>>,
    objects: Objects,
    replica: Replica,
    seal: Seal,
}

impl Process {
    fn new() -> Self {
        Self {
            adopted: Mutex::default(),
            objects: Objects::new(SocketAddr::from(([127, 0, 0, 1], 1))),
            replica: Replica::default(),
            seal: Seal::new("test"),
        }
    }

    fn adopted(&self) -> Vec<Version> {
        self.adopted
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }
}

impl Node for Process {
    fn adopt(&self, version: Version, _: Config) {
        self.adopted
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(version);
    }

    fn instances(&self) -> Vec<Instance> {
        Vec::new()
    }

    fn learn(&self, _: Vec<Instance>) {}

    fn objects(&self) -> &Objects {
        &self.objects
    }

    fn peers(&self) -> Vec<SocketAddr> {
        Vec::new()
    }

    fn replica(&self) -> &Replica {
        &self.replica
    }

    fn seal(&self) -> &Seal {
        &self.seal
    }

    async fn send(&self, _: Datagram, _: SocketAddr) {}

    fn watches(&self) -> bool {
        false
    }
}

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

const CONFIG: &str = r#"{"author": "mika", "publish": 1, "replaced": [], "services": []}"#;

#[test]
fn a_start_takes_the_highest_of_all_peers() {
    task::block_on(async {
        let peers = [
            peer(3, CONFIG).await,
            peer(5, CONFIG).await,
            peer(4, CONFIG).await,
        ];
        let process = Process::new();
        join(&process, &peers).await;
        assert_eq!(process.adopted(), [5]);
        assert_eq!(process.replica.version(), 5);
    });
}

#[test]
fn a_lower_version_is_never_put_in_force() {
    task::block_on(async {
        let process = Process::new();
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
        let process = Process::new();
        join(&process, &[peer(5, "{").await, peer(4, CONFIG).await]).await;
        assert_eq!(process.replica.version(), 0);
        join(&process, &[peer(4, CONFIG).await]).await;
        assert_eq!(process.adopted(), [4]);
    });
}

#[test]
fn peers_get_what_a_process_holds() {
    task::block_on(async {
        let process = Process::new();
        join(&process, &[peer(5, CONFIG).await]).await;
        let fetch = almondwell_schema::Fetch { instances: false };
        let Frame::Snapshot(snapshot) = answer(&process, &fetch) else {
            panic!("no snapshot");
        };
        assert_eq!(snapshot.version, 5);
        assert_eq!(snapshot.config, CONFIG.as_bytes());
    });
}
