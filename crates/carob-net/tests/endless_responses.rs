//! Servers that send interim responses without end to the HTTP client.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use carob_net::HttpClient;

/// Time that a request waits for the head of its response.
const HEAD_TIMEOUT: Duration = Duration::from_secs(1);
/// Time for which the server sends, at most.
const FLOOD_TIME: Duration = Duration::from_secs(5);
/// Pause of a task beside the request.
const PAUSE: Duration = Duration::from_millis(20);
/// Time by which such a pause may be longer.
const MAX_DELAY: Duration = Duration::from_millis(300);

/// A server that answers the first `sound` requests of a connection in order.
fn start(sound: usize) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            // An error is the other side's close.
            thread::spawn(move || drop(answer(stream, sound)));
        }
    });
    address
}

fn answer(mut stream: TcpStream, sound: usize) -> std::io::Result<()> {
    for _ in 0..sound {
        read_some(&mut stream)?;
        stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nown")?;
    }
    read_some(&mut stream)?;
    let batch = b"HTTP/1.1 100 Continue\r\n\r\n".repeat(4096);
    let started = Instant::now();
    while started.elapsed() < FLOOD_TIME {
        stream.write_all(&batch)?;
    }
    Ok(())
}

/// Reads a request, which comes in one piece.
fn read_some(stream: &mut TcpStream) -> std::io::Result<usize> {
    stream.read(&mut [0; 4096])
}

async fn check(sound: usize) {
    let url = format!("http://{}/", start(sound));
    let client = HttpClient::pooled();
    for _ in 0..sound {
        assert_eq!(client.get(&url, HEAD_TIMEOUT).await.unwrap().status, 200);
    }
    let beside = tokio::spawn(async {
        let mut longest = Duration::ZERO;
        for _ in 0..50 {
            let started = Instant::now();
            tokio::time::sleep(PAUSE).await;
            longest = longest.max(started.elapsed());
        }
        longest
    });
    let started = Instant::now();
    assert!(client.get(&url, HEAD_TIMEOUT).await.is_err());
    assert!(started.elapsed() < HEAD_TIMEOUT + MAX_DELAY, "took {:?}", started.elapsed());
    let longest = beside.await.unwrap();
    assert!(longest < PAUSE + MAX_DELAY, "another task stood still for {longest:?}");
}

/// Guards against a task that reads for as long as bytes come, so that the thread does nothing else.
#[tokio::test]
async fn interim_responses_on_a_kept_connection_leave_time_for_other_tasks() {
    check(1).await;
}

/// Guards against the same on the first request of a connection.
#[tokio::test]
async fn interim_responses_on_a_new_connection_leave_time_for_other_tasks() {
    check(0).await;
}
