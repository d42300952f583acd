//! Ended loans were kept for ten minutes and walked by every reservation.

use std::time::Duration;

use carobglade::{
    Grant, Offset, SLOTS_PER_GROUP, SlotShare, TenantName, TokenPool, TokenRate, Tokens,
};

use crate::support::vm;

#[test]
fn the_lender_forgets_a_loan_that_is_closed() {
    let tenant: TenantName = "apron".parse().unwrap();
    let grant = Grant { rate: TokenRate(1000), burst: Tokens(1000), created: Offset(1) };
    let share = SlotShare { grant, slots: SLOTS_PER_GROUP };
    let (mut home, mut hot) = (TokenPool::default(), TokenPool::default());
    home.lender.set_share(&tenant, share, Tokens(1000), Duration::ZERO);
    let (lender, borrower) = (vm("home", 1), vm("hot", 1));
    for i in 0..40u64 {
        let now = Duration::from_millis(100 * i);
        let homes = |_: &TenantName| vec![(lender.clone(), SLOTS_PER_GROUP)];
        let mut asks = hot.tick(homes, |_| Some(Offset(1)), Duration::from_millis(100), now);
        if i < 5 {
            let name = (tenant.clone(), Offset(1));
            let homes = [(lender.clone(), SLOTS_PER_GROUP)];
            asks.extend(hot.request_missing(&name, Tokens(50), &homes, true));
        }
        for (_, ask) in asks {
            let lent = home.lend(&borrower, &ask, now);
            hot.confirm_reports(&lender, &ask.reports);
            hot.add_loan(&lender, &lent, now, now);
        }
        if i < 5 {
            let held = hot.reserve(&tenant, Tokens(50), now).unwrap();
            hot.settle(held, Tokens(50), now);
        }
    }
    assert_eq!(home.lender.open_loan_count(), 0);
    assert_eq!(home.lender.loan_count(), 0);
    assert_eq!(hot.loan_count(), 0);
}
