//! The buckets that a process owns, and the loans it made from them.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::process::VmRef;
use crate::process::quota::{QuotaBucket, RefundPoint, SlotShare};
use crate::{Offset, TenantName, Tokens};

/// Time for which a borrower may spend a loan, from the moment it asked, on its own clock.
pub const LOAN_LIFETIME: Duration = Duration::from_secs(2);

const LOAN_EXPIRY: Duration = Duration::from_millis(2500); // after which the lender counts it spent
const LOAN_MEMORY: Duration = Duration::from_secs(600); // how long refunds are taken

const RETRY_WAIT_MS: u64 = 1000;

/// What became of a loan, in totals since it was made, so that a lost or doubled report does no
/// harm.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoanReport {
    /// The loan.
    pub loan: u64,
    /// Tokens reserved from it.
    pub spent: u64,
    /// Tokens returned unspent.
    pub returned: u64,
    /// Tokens that were reserved and then not used.
    pub refunded: u64,
    /// Whether nothing more will be reported.
    pub closed: bool,
}

/// Asks for a loan and reports on earlier ones.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LoanRequest {
    /// The tenant.
    pub tenant: TenantName,
    /// The log offset at which the tenant was created.
    pub created: Offset,
    /// Tokens wanted; 0 to report only.
    pub want: u64,
    /// Reports on earlier loans.
    pub reports: Vec<LoanReport>,
}

/// A loan.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LoanResponse {
    /// The tenant.
    pub tenant: TenantName,
    /// The log offset at which the tenant was created.
    pub created: Offset,
    /// The loan; 0 for none.
    pub loan: u64,
    /// Its tokens.
    pub tokens: u64,
    /// Time until as many tokens as were missing could be lent, in milliseconds.
    pub wait: u64,
}

#[derive(Clone, Debug)]
struct Loan {
    tenant: TenantName,
    borrower: VmRef,
    tokens: u64,
    report: LoanReport,
    granted_at: Duration,
    expired: bool,
    settled: Option<RefundPoint>,
}

impl Loan {
    /// Tokens that the borrower may still spend, as far as the lender knows.
    fn open(&self) -> u64 {
        if self.expired { 0 } else { self.tokens - self.report.spent - self.report.returned }
    }
}

/// The buckets that a process owns, and the loans it made from them.
#[derive(Debug, Default)]
pub struct Lender {
    buckets: BTreeMap<TenantName, QuotaBucket>,
    loans: BTreeMap<u64, Loan>,
    last_id: u64,
    stopped: bool,
}

impl Lender {
    /// Sets the share of a tenant; `added` tokens come with a larger one.
    pub fn set_share(
        &mut self,
        tenant: &TenantName,
        share: SlotShare,
        added: Tokens,
        now: Duration,
    ) {
        match self.buckets.get_mut(tenant) {
            Some(bucket) if bucket.share() == share => {}
            Some(bucket) if bucket.share().grant.created == share.grant.created => {
                bucket.set_share(share, added, now);
            }
            _ => {
                let bucket = QuotaBucket::new(share, added, now);
                self.loans.retain(|_, loan| loan.tenant != *tenant);
                self.buckets.insert(tenant.clone(), bucket);
            }
        }
    }

    /// Drops the buckets and loans of tenants that `keep` does not hold.
    pub fn retain(&mut self, keep: impl Fn(&TenantName) -> bool) {
        self.buckets.retain(|tenant, _| keep(tenant));
        self.loans.retain(|_, loan| keep(&loan.tenant));
    }

    /// The bucket of a tenant.
    pub fn bucket(&mut self, tenant: &TenantName) -> Option<&mut QuotaBucket> {
        self.buckets.get_mut(tenant)
    }

    /// Whole tokens in each bucket.
    pub fn levels(&mut self, now: Duration) -> BTreeMap<TenantName, u64> {
        let levels = self.buckets.iter_mut();
        levels.map(|(tenant, bucket)| (tenant.clone(), bucket.level(now).0)).collect()
    }

    /// Makes no more loans. The slots can be given up once [`open_loan_count`](Self::open_loan_count) is 0.
    pub fn stop_lending(&mut self) {
        self.stopped = true;
    }

    /// Loans that a borrower may still spend.
    pub fn open_loan_count(&self) -> usize {
        self.loans.values().filter(|loan| loan.open() > 0).count()
    }

    /// Loans that are remembered.
    pub fn loan_count(&self) -> usize {
        self.loans.len()
    }

    /// Answers an ask of `borrower`.
    pub fn lend(&mut self, borrower: &VmRef, ask: &LoanRequest, now: Duration) -> LoanResponse {
        self.expire_loans(now);
        for report in &ask.reports {
            self.report(borrower, report, now);
        }
        let (tenant, created) = (ask.tenant.clone(), ask.created);
        let none = LoanResponse { tenant, created, loan: 0, tokens: 0, wait: RETRY_WAIT_MS };
        let bucket = self.buckets.get_mut(&ask.tenant).filter(|_| !self.stopped);
        let bucket = bucket.filter(|bucket| bucket.share().grant.created == created);
        let Some(bucket) = bucket else { return none };
        let tokens = bucket.lend(Tokens(ask.want), now).0;
        let missing = ask.want - tokens;
        let wait = bucket.wait_for(Tokens(missing)).as_millis();
        let wait = u64::try_from(wait).unwrap_or(u64::MAX);
        if tokens == 0 {
            return LoanResponse { wait, ..none };
        }
        self.last_id += 1;
        let loan = Loan {
            tenant: ask.tenant.clone(),
            borrower: borrower.clone(),
            tokens,
            report: LoanReport { loan: self.last_id, ..LoanReport::default() },
            granted_at: now,
            expired: false,
            settled: None,
        };
        self.loans.insert(self.last_id, loan);
        LoanResponse { loan: self.last_id, tokens, wait, ..none }
    }

    fn report(&mut self, borrower: &VmRef, report: &LoanReport, now: Duration) {
        let Some(loan) = self.loans.get_mut(&report.loan) else {
            return;
        };
        let Some(bucket) = self.buckets.get_mut(&loan.tenant) else {
            return;
        };
        if loan.borrower != *borrower {
            return;
        }
        let old = loan.report;
        let spent = report.spent.clamp(old.spent, loan.tokens - old.returned);
        let returned = report.returned.clamp(old.returned, loan.tokens - spent);
        let refunded = report.refunded.clamp(old.refunded, spent);
        if !loan.expired {
            let mark = bucket.settle_lent(Tokens(spent - old.spent), now);
            bucket.reclaim(Tokens(returned - old.returned), now);
            if spent > old.spent {
                loan.settled.get_or_insert(mark);
            }
        }
        if let Some(mark) = loan.settled {
            bucket.refund(Tokens(refunded - old.refunded), mark, now);
        }
        loan.report = LoanReport { loan: report.loan, spent, returned, refunded, closed: false };
        if report.closed {
            self.close_loan(report.loan, now);
        }
    }

    /// The borrower will report nothing more; what it did not spend has lapsed there.
    fn close_loan(&mut self, loan: u64, now: Duration) {
        let Some(loan) = self.loans.remove(&loan) else { return };
        if let Some(bucket) = self.buckets.get_mut(&loan.tenant) {
            bucket.settle_lent(Tokens(loan.open()), now);
        }
    }

    /// Counts loans as spent whose time is over.
    pub fn expire_loans(&mut self, now: Duration) {
        for loan in self.loans.values_mut() {
            if loan.expired || now.saturating_sub(loan.granted_at) < LOAN_EXPIRY {
                continue;
            }
            let open = loan.open();
            loan.expired = true;
            if let Some(bucket) = self.buckets.get_mut(&loan.tenant) {
                let mark = bucket.settle_lent(Tokens(open), now);
                loan.settled.get_or_insert(mark);
            }
        }
        self.loans.retain(|_, loan| now.saturating_sub(loan.granted_at) < LOAN_MEMORY);
    }
}
