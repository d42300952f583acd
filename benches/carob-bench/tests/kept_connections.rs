//! Connections that callers keep, beside a planned stop.

use std::net::SocketAddr;
use std::time::Duration;

use carob_bench::config::api_key;
use carob_bench::{Fleet, FleetOptions, KeptConnection};
use tokio::time::{Instant, sleep};

/// Number of callers, each with a pause of its own between two requests.
const CALLERS: u64 = 48;
/// Time that a request is on its way, in which its caller does not see that the connection closes.
const PATH_DELAY: Duration = Duration::from_millis(100);
const CALL_TIME: Duration = Duration::from_secs(9);
const STOP_DELAY: Duration = Duration::from_secs(3);

/// Requests that callers sent, and those without a whole response.
#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    sent: u32,
    lost: u32,
    /// Responses that told for how long the connection may be used again.
    promised: u32,
    /// Responses that told that the connection closes.
    closing: u32,
}

impl Counts {
    fn add(&mut self, other: Counts) {
        self.sent += other.sent;
        self.lost += other.lost;
        self.closing += other.closing;
        self.promised += other.promised;
    }
}

fn list_models() -> String {
    let key = api_key("crew");
    format!("GET /v1/models HTTP/1.1\r\nhost: entry\r\nauthorization: Bearer {key}\r\n\r\n")
}

/// Uses one connection until it may not be used again.
async fn use_connection(address: SocketAddr, pause: Duration, until: Instant) -> Counts {
    let mut counts = Counts::default();
    let Ok(mut connection) = KeptConnection::open(address).await else {
        return counts;
    };
    while Instant::now() < until {
        counts.sent += 1;
        let Some(response) = connection.exchange(&list_models()).await else {
            counts.lost += 1;
            return counts;
        };
        counts.closing += u32::from(response.closes);
        counts.promised += u32::from(response.promise.is_some());
        let promised = response.promise.is_none_or(|promise| pause + PATH_DELAY <= promise);
        if response.closes || !promised {
            return counts;
        }
        sleep(pause).await;
        if connection.is_closed() {
            return counts;
        }
        sleep(PATH_DELAY).await;
    }
    counts
}

/// Calls `vms[0]` until a response says that its connection closes, then `vms[1]`, as a load balancer
/// sends new connections elsewhere.
async fn keep_calling(vms: [SocketAddr; 2], pause: Duration, until: Instant) -> Counts {
    let mut counts = Counts::default();
    while Instant::now() < until {
        let address = if counts.closing == 0 { vms[0] } else { vms[1] };
        counts.add(use_connection(address, pause, until).await);
        sleep(Duration::from_millis(50)).await;
    }
    counts
}

// Guards against: requests on kept connections that got neither an answer nor a refusal, because all
// connections were closed at the end of a drain and callers were not told before.
#[tokio::test(flavor = "multi_thread")]
async fn callers_that_keep_connections_get_every_response_in_a_drain() {
    let mut fleet = Fleet::start(FleetOptions::default()).await.unwrap();
    let vms = [fleet.caller_address(0), fleet.caller_address(1)];
    let until = Instant::now() + CALL_TIME;
    let calls = (0..CALLERS)
        .map(|i| keep_calling(vms, Duration::from_millis(100 + 37 * i), until))
        .map(tokio::spawn);
    let calls: Vec<_> = calls.collect();
    sleep(STOP_DELAY).await;
    fleet.vms[0].process.signal("TERM");
    let code = fleet.vms[0].process.wait(Duration::from_secs(30)).await;
    assert_eq!(code, Some(0), "{}", fleet.vms[0].process.read_output());
    let mut counts = Counts::default();
    for call in calls {
        counts.add(call.await.unwrap());
    }
    assert!(counts.sent > 100, "{counts:?}");
    assert_eq!(counts.lost, 0, "{counts:?}");
    assert!(counts.promised > 50 && counts.closing > 0, "{counts:?}");
}
