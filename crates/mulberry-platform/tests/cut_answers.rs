//! Answers that a server breaks off at each of their bytes: none of them may be taken for a whole one.

use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;

use bytes::Bytes;
use hyper::Method;

use mulberry_platform::http_client::HttpClient;
use mulberry_platform::http_client::HttpError;
use mulberry_platform::http_client::request;

const TIMEOUT_MS: u64 = 5_000;

const MAX_BYTES: usize = 1_024;

const BODY: &str = "hello";

/// A whole answer, after which the connection is kept.
const WHOLE: &str = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello";

struct Case {
    name: &'static str,
    answer: &'static str,
}

const CASES: [Case; 5] = [
    Case { name: "a length at the end of the head", answer: WHOLE },
    Case {
        name: "a length at the beginning of the head",
        answer: "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX: y\r\n\r\nhello",
    },
    Case {
        name: "chunks",
        answer: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n",
    },
    Case {
        name: "an interim response before",
        answer: "HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
    },
    Case { name: "HTTP/1.0", answer: "HTTP/1.0 200 OK\r\nContent-Length: 5\r\n\r\nhello" },
];

/// Reads one request without a body. Returns false at the end of the connection.
fn read_request(stream: &mut TcpStream) -> bool {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        match stream.read(&mut byte) {
            Ok(1) => head.push(byte[0]),
            _ => return false,
        }
    }
    true
}

/// Starts a server that answers whole `whole` times on each connection, and the next request there with this
/// part of an answer, after which it closes the connection.
fn start_server(whole: usize, part: &'static str) -> SocketAddr {
    let Ok(listener) = TcpListener::bind("127.0.0.1:0") else { panic!("no free port") };
    let Ok(address) = listener.local_addr() else { panic!("no address") };
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let answers = std::iter::repeat_n(WHOLE, whole).chain([part]);
            for answer in answers {
                if !read_request(&mut stream) || stream.write_all(answer.as_bytes()).is_err() {
                    break;
                }
            }
            // The other end may have closed it.
            let _result = stream.shutdown(Shutdown::Both);
        }
    });
    address
}

async fn get(client: &HttpClient, server: SocketAddr) -> Result<(u16, Bytes), HttpError> {
    let req = request(Method::GET, &format!("http://{server}/"));
    let response = client.send(req, Bytes::new()).await?;
    let status = response.status().as_u16();
    Ok((status, response.read(MAX_BYTES).await?))
}

/// Guards against MIXED and ORDER as other operators reported it (issue 58): a server stopped in the middle of
/// its answer, and the caller got a 200 with an empty or short body as whole. On new connections, and on
/// kept ones that have carried whole answers.
#[actix_rt::test]
async fn no_part_of_an_answer_is_taken_for_a_whole_one() {
    for case in CASES {
        for kept in [0, 1] {
            for bytes in 0..=case.answer.len() {
                let part = &case.answer[..bytes];
                let server = start_server(kept, part);
                let client = HttpClient::new(TIMEOUT_MS);
                for _ in 0..kept {
                    let whole = get(&client, server).await.ok();
                    assert_eq!(whole, Some((200, Bytes::from(BODY))));
                }
                let answer = get(&client, server).await.ok();
                let expected = (part == case.answer).then(|| (200, Bytes::from(BODY)));
                assert_eq!(answer, expected, "{}, kept {kept}, cut at {bytes}", case.name);
            }
        }
    }
}

/// Guards against the report of other operators (issue 65): an answer whose status is none was taken for the answer.
#[actix_rt::test]
async fn status_that_is_none_is_no_answer() {
    for answer in [
        "HTTP/1.1 000 None\r\nContent-Length: 5\r\n\r\nhello",
        "HTTP/1.1 101 Switching Protocols\r\nContent-Length: 5\r\n\r\nhello",
        "HTTP/1.1 600 High\r\nContent-Length: 5\r\n\r\nhello",
        "HTTP/1.1 999 Highest\r\n\r\nhello",
    ] {
        for kept in [0, 1] {
            let server = start_server(kept, answer);
            let client = HttpClient::new(TIMEOUT_MS);
            for _ in 0..kept {
                assert!(get(&client, server).await.is_ok());
            }
            let answered = get(&client, server).await;
            assert!(answered.is_err(), "{answer:?}, kept {kept}: {answered:?}");
        }
    }
}

/// Guards against a remedy that takes an answer without a length or chunks, which ends with its connection, for
/// one that broke off.
#[actix_rt::test]
async fn an_answer_that_ends_with_its_connection_is_whole() {
    let server = start_server(0, "HTTP/1.1 200 OK\r\n\r\nhello");
    let client = HttpClient::new(TIMEOUT_MS);
    assert_eq!(get(&client, server).await.ok(), Some((200, Bytes::from(BODY))));
}
