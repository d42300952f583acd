//! How long callers may use an idle connection again.

use std::time::Duration;

use carobglade::KeepAlivePromise;

macro_rules! promise_tests {
    ($($name:ident: $stop_millis:expr => $seconds:expr, $idle_millis:expr;)*) => {$(
        #[test]
        fn $name() {
            let promise = KeepAlivePromise::fitting(Duration::from_millis($stop_millis));
            assert_eq!(promise.seconds(), $seconds);
            assert_eq!(promise.idle_time(), Duration::from_millis($idle_millis));
        }
    )*};
}

promise_tests! {
    a_long_stop_has_two_seconds: 7_500 => Some(2), 2_500;
    two_seconds_and_the_way_just_fit: 2_500 => Some(2), 2_500;
    a_shorter_stop_has_one_second: 2_499 => Some(1), 1_500;
    one_second_and_the_way_just_fit: 1_500 => Some(1), 1_500;
    nothing_is_promised_that_does_not_fit: 1_499 => None, 0;
    a_stop_without_time_promises_nothing: 0 => None, 0;
}
