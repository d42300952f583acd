//! Reads of the log that hold odd records.

use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

use carob_net::{LogClient, LogPage, Reply, ServeOptions, serve};
use carobglade::{Offset, Record};

const DEPTH: usize = 100_000;

fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

/// Reads a page with a record between two others.
async fn read_page(record: impl AsRef<str>) -> carobglade::Result<LogPage> {
    let leave = |vm: &str| format!("{{\"leave\":{{\"vm\":\"{vm}\",\"incarnation\":1}}}}");
    let records = [leave("vm-1"), record.as_ref().to_owned(), leave("vm-2")].join(",");
    let page = format!(
        "{{\"first\":0,\"next\":5,\"entries\":[{{\"offset\":4,\"time\":7,\"id\":\"a\",\"records\":[{records}]}}]}}"
    );
    let address = free_address();
    let options = ServeOptions { address, threads: 1, ..ServeOptions::default() };
    let server = serve(options, move |_| {
        let body = page.clone();
        async move { Reply::new(200, "application/json", body) }
    });
    let _server = server.unwrap();
    let client = LogClient::new(&address.to_string(), "control");
    client.read(Offset(4), Duration::ZERO).await
}

/// Names a test for each odd record.
macro_rules! odd_records {
    ($($name:ident => $record:expr;)*) => {
        $(
            #[tokio::test(flavor = "multi_thread")]
            async fn $name() {
                let page = read_page($record).await.unwrap();
                assert_eq!(page.next, Offset(5));
                let records = &page.entries[0].records;
                let leaves = records.iter().filter(|record| matches!(record, Record::Leave(_)));
                assert_eq!((leaves.count(), records.len()), (2, 2));
            }
        )*
    };
}

// Guards against: one record that cannot be decoded makes a process read the same page of the log
// again and again.
odd_records! {
    a_record_of_another_type => "7";
    a_record_of_an_unknown_kind => "{\"other\":{}}";
    a_record_with_a_wrong_field => "{\"leave\":{\"vm\":[],\"incarnation\":1}}";
    a_record_with_a_number_out_of_range => "{\"leave\":{\"vm\":\"a\",\"incarnation\":1e400}}";
    a_record_with_a_large_number => "{\"cleared\":18446744073709551616}";
    a_record_with_a_port_out_of_range => "{\"join\":{\"vm\":{\"vm\":\"a\",\"incarnation\":1},\
        \"data_centre\":\"b\",\"peer\":\"127.0.0.1:70000\",\"admin\":\"127.0.0.1:1\"}}";
    a_record_that_is_nested_deep => "[".repeat(DEPTH) + &"]".repeat(DEPTH);
    a_kind_that_is_nested_deep => format!("{{\"leave\":{}1{}}}", "[".repeat(DEPTH), "]".repeat(DEPTH));
}
