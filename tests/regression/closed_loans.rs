//! Closed loans were kept for ten minutes, and every reservation iterated over them.

use std::time::Duration;

use carobglade::{
    Offset, RateLimit, SLOTS_PER_GROUP, SlotShare, TenantName, TokenPool, TokenRate, Tokens,
};

use crate::support::vm;

#[test]
fn closed_loans_are_dropped() {
    let tenant: TenantName = "apron".parse().unwrap();
    let grant = RateLimit { rate: TokenRate(1000), burst: Tokens(1000), created: Offset(1) };
    let share = SlotShare { rate_limit: grant, slots: SLOTS_PER_GROUP };
    let (mut lender_pool, mut borrower_pool) = (TokenPool::default(), TokenPool::default());
    lender_pool.lender.set_share(&tenant, share, Tokens(1000), Duration::ZERO);
    let (lender, borrower) = (vm("home", 1), vm("hot", 1));
    for i in 0..40u64 {
        let now = Duration::from_millis(100 * i);
        let lenders = |_: &TenantName| vec![(lender.clone(), SLOTS_PER_GROUP)];
        let mut requests =
            borrower_pool.tick(lenders, |_| Some(Offset(1)), Duration::from_millis(100), now);
        if i < 5 {
            let name = (tenant.clone(), Offset(1));
            let lenders = [(lender.clone(), SLOTS_PER_GROUP)];
            requests.extend(borrower_pool.request_missing(&name, Tokens(50), &lenders, true));
        }
        for (_, request) in requests {
            let response = lender_pool.lend(&borrower, &request, now);
            borrower_pool.record_confirmation(&lender, &request.reports);
            borrower_pool.add_loan(&lender, &response, now, now);
        }
        if i < 5 {
            let reservation = borrower_pool.reserve(&tenant, Tokens(50), now).unwrap();
            borrower_pool.settle(reservation, Tokens(50), now);
        }
    }
    assert_eq!(lender_pool.lender.open_loan_count(), 0);
    assert_eq!(lender_pool.lender.loan_count(), 0);
    assert_eq!(borrower_pool.loan_count(), 0);
}
