//! A daemon tells another one what it knows of the store.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures::FutureExt;
use lapismoor_core::membership::StoreItem;
use lapismoor_mirror::{ByteCounter, MirrorAnswer, MirrorClient, MirrorError, MirrorSource, serve};
use tokio::net::TcpListener;
use tokio::task::LocalSet;

fn answer() -> MirrorAnswer {
    let item = |key: &str, value: Option<&'static [u8]>| StoreItem {
        key: key.into(),
        value: value.map(Bytes::from_static),
    };
    MirrorAnswer {
        items: vec![
            item("a", Some(b"\x00\xff")),
            item("b", None),
            item("c", Some(b"")),
        ],
        revision: 7,
        age: Duration::from_millis(250),
        held: Duration::from_millis(400),
    }
}

/// Knows everything up to revision 7, and nothing of the time before revision 3.
fn source() -> MirrorSource {
    MirrorSource {
        list: Rc::new(|| async { Some(answer()) }.boxed_local()),
        watch: Rc::new(|after, _| async move { (after >= 3).then(answer) }.boxed_local()),
    }
}

async fn connected() -> MirrorClient {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("bound");
    tokio::task::spawn_local(serve(
        listener,
        source(),
        |error| panic!("{error}"),
        ByteCounter::default(),
    ));
    MirrorClient::connect(address, ByteCounter::default())
        .await
        .expect("listening")
}

#[tokio::test]
async fn what_is_told_arrives_unchanged_and_seems_no_younger() {
    LocalSet::new()
        .run_until(async {
            let client = connected().await;
            let expected = MirrorAnswer {
                age: Duration::from_millis(251),
                ..answer()
            };
            assert_eq!(client.list().await.expect("told"), expected);
            let changes = client.watch(5, Duration::from_millis(400)).await;
            assert_eq!(changes.expect("told"), expected);
        })
        .await;
}

#[tokio::test]
async fn a_gap_is_told_apart_from_a_failure() {
    LocalSet::new()
        .run_until(async {
            let client = connected().await;
            let gap = client.watch(2, Duration::ZERO).await;
            assert!(matches!(gap, Err(MirrorError::HistoryUnavailable)));
            assert!(client.list().await.is_ok(), "the connection goes on");
        })
        .await;
}

#[tokio::test]
async fn a_daemon_that_is_not_there_is_a_failure() {
    LocalSet::new()
        .run_until(async {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
            let address = listener.local_addr().expect("bound");
            drop(listener);
            let refused = MirrorClient::connect(address, ByteCounter::default()).await;
            assert!(matches!(refused, Err(MirrorError::Connect { .. })));
        })
        .await;
}
