//! Ports and child processes of the test harness.

use std::net::TcpListener;
use std::process::Command;
use std::sync::atomic::{AtomicBool, Ordering};

use carob_bench::free_address;
use carob_bench::process::spawn;

/// A process that starts while a port is probed would inherit the probing socket and keep the port
/// in use.
#[test]
fn free_ports_stay_free_while_processes_start() {
    let stop = AtomicBool::new(false);
    std::thread::scope(|scope| {
        for _ in 0..4 {
            scope.spawn(|| {
                while !stop.load(Ordering::Relaxed) {
                    spawn(&mut Command::new("true")).unwrap().wait().unwrap();
                }
            });
        }
        let taken = (0..400).filter(|_| TcpListener::bind(free_address()).is_err()).count();
        stop.store(true, Ordering::Relaxed);
        assert_eq!(taken, 0, "{taken} of 400 free ports were in use");
    });
}
