//! Links whose peer falls silent without closing the connection.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use std::time::Duration;

use tokio::net::TcpListener;

use mulberry_link::LinkConnection;
use mulberry_link::LinkError;
use mulberry_protocol::auth::SecretKeyring;

/// Time for which a peer may be silent once it has shown life.
const LIMIT: Duration = Duration::from_millis(200);

/// Time for which a peer sends nothing before its message: longer than the limit.
const PAUSE: Duration = Duration::from_millis(500);

const MESSAGE: u32 = 7;

/// Opens a link. Returns the connecting end and the accepting one.
async fn open_link() -> (LinkConnection, LinkConnection) {
    let secrets = SecretKeyring::parse("0123456789abcdef0123456789abcdef").unwrap();
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let accept = async {
        let (stream, _) = listener.accept().await.unwrap();
        LinkConnection::accept(stream, &secrets).await.unwrap()
    };
    let connect = async { LinkConnection::connect(address, &secrets).await.unwrap() };
    tokio::join!(connect, accept)
}

/// Guards against a link that is waited on for good after its peer fell silent (related to review/8).
#[actix_rt::test]
async fn a_peer_that_has_shown_life_may_not_fall_silent() {
    let (near, mut peer) = open_link().await;
    peer.send_alive().await.unwrap();
    let (_writer, mut reader) = near.split();
    let mut signs = 0;
    let received = reader.receive_while_alive::<u32>(LIMIT, || signs += 1).await;
    assert!(matches!(received, Err(LinkError::TimedOut)), "{received:?}");
    assert_eq!(signs, 1);
}

/// Guards against a limit that breaks links to peers of an earlier build, which send no signs of life.
#[actix_rt::test]
async fn a_peer_that_never_showed_life_is_waited_for() {
    let (near, mut peer) = open_link().await;
    let (_writer, mut reader) = near.split();
    let send = async {
        tokio::time::sleep(PAUSE).await;
        peer.send(&MESSAGE).await.unwrap();
    };
    let receive = reader.receive_while_alive::<u32>(LIMIT, || {});
    let ((), received) = tokio::join!(send, receive);
    assert_eq!(received.ok(), Some(MESSAGE));
}
