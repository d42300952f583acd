//! Lending side of the quota: the buckets that a process owns and the loans made from them.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::process::VmRef;
use crate::process::quota::{QuotaBucket, RefundPoint, SlotShare};
use crate::{Offset, TenantName, Tokens};

/// Time on the borrower's clock, from its request on, within which the borrower may spend a loan.
pub const LOAN_TTL: Duration = Duration::from_secs(2);

/// Time after which the lender counts what is open of a loan as spent. Longer than [`LOAN_TTL`],
/// which begins earlier, so that the borrower stops first.
const LOAN_EXPIRY: Duration = Duration::from_millis(2500);
const LOAN_RETENTION: Duration = Duration::from_secs(600); // how long refunds are accepted

const RETRY_WAIT_MS: u64 = 1000; // when there is no bucket to lend from

/// Borrower's report on a loan, in totals since the loan was granted, so that lost or duplicate
/// reports have no effect.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoanReport {
    /// Id of the loan.
    pub loan: u64,
    /// Tokens reserved from the loan.
    pub spent: u64,
    /// Tokens returned unspent.
    pub returned: u64,
    /// Tokens that were reserved but not used.
    pub refunded: u64,
    /// Whether this report is the last.
    pub closed: bool,
}

/// Request for a loan, with reports on earlier loans.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LoanRequest {
    /// Tenant whose tokens are lent.
    pub tenant: TenantName,
    /// Log offset at which the tenant was created.
    pub created: Offset,
    /// Tokens wanted; 0 if the request only carries reports.
    #[serde(rename = "want")]
    pub wanted: u64,
    /// Reports on earlier loans.
    pub reports: Vec<LoanReport>,
}

/// Response to a [`LoanRequest`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LoanResponse {
    /// Tenant whose tokens are lent.
    pub tenant: TenantName,
    /// Log offset at which the tenant was created.
    pub created: Offset,
    /// Id of the loan; 0 if no tokens were lent.
    pub loan: u64,
    /// Tokens lent.
    pub tokens: u64,
    /// Milliseconds until the tokens that were wanted but not lent could be lent.
    #[serde(rename = "wait")]
    pub wait_ms: u64,
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
    /// Returns the tokens that the borrower may still spend, as far as the lender knows.
    fn open(&self) -> u64 {
        if self.expired { 0 } else { self.tokens - self.report.spent - self.report.returned }
    }
}

/// Buckets that a process owns, and the loans made from them.
#[derive(Debug, Default)]
pub struct Lender {
    buckets: BTreeMap<TenantName, QuotaBucket>,
    loans: BTreeMap<u64, Loan>,
    last_id: u64,
    stopped: bool,
}

impl Lender {
    /// Sets the share of a tenant and adds `added` tokens. A tenant that is new or was recreated
    /// gets a new bucket.
    pub fn set_share(
        &mut self,
        tenant: &TenantName,
        share: SlotShare,
        added: Tokens,
        now: Duration,
    ) {
        match self.buckets.get_mut(tenant) {
            Some(bucket) if bucket.share() == share => {}
            Some(bucket) if bucket.share().rate_limit.created == share.rate_limit.created => {
                bucket.set_share(share, added, now);
            }
            _ => {
                let bucket = QuotaBucket::new(share, added, now);
                self.loans.retain(|_, loan| loan.tenant != *tenant);
                self.buckets.insert(tenant.clone(), bucket);
            }
        }
    }

    /// Keeps only the buckets and loans of tenants for which `keep` returns true.
    pub fn retain(&mut self, keep: impl Fn(&TenantName) -> bool) {
        self.buckets.retain(|tenant, _| keep(tenant));
        self.loans.retain(|_, loan| keep(&loan.tenant));
    }

    /// Returns the bucket of a tenant; `None` if the process owns none.
    pub fn bucket(&mut self, tenant: &TenantName) -> Option<&mut QuotaBucket> {
        self.buckets.get_mut(tenant)
    }

    /// Returns the whole tokens in each bucket.
    pub fn levels(&mut self, now: Duration) -> BTreeMap<TenantName, u64> {
        let levels = self.buckets.iter_mut();
        levels.map(|(tenant, bucket)| (tenant.clone(), bucket.level(now).0)).collect()
    }

    /// Stops granting loans. The slots can be released once
    /// [`open_loan_count`](Self::open_loan_count) is 0.
    pub fn stop_lending(&mut self) {
        self.stopped = true;
    }

    /// Returns the number of loans that their borrowers may still spend.
    pub fn open_loan_count(&self) -> usize {
        self.loans.values().filter(|loan| loan.open() > 0).count()
    }

    /// Returns the number of loans that are kept, including those that can only be refunded.
    pub fn loan_count(&self) -> usize {
        self.loans.len()
    }

    /// Processes the reports in a request of `borrower`, and grants the tokens that are available.
    pub fn lend(&mut self, borrower: &VmRef, request: &LoanRequest, now: Duration) -> LoanResponse {
        self.expire_loans(now);
        for report in &request.reports {
            self.report(borrower, report, now);
        }
        let (tenant, created) = (request.tenant.clone(), request.created);
        let none = LoanResponse { tenant, created, loan: 0, tokens: 0, wait_ms: RETRY_WAIT_MS };
        let bucket = self.buckets.get_mut(&request.tenant).filter(|_| !self.stopped);
        let bucket = bucket.filter(|bucket| bucket.share().rate_limit.created == created);
        let Some(bucket) = bucket else { return none };
        let tokens = bucket.lend(Tokens(request.wanted), now).0;
        let missing = request.wanted - tokens;
        let wait = bucket.wait_for(Tokens(missing)).as_millis();
        let wait = u64::try_from(wait).unwrap_or(u64::MAX);
        if tokens == 0 {
            return LoanResponse { wait_ms: wait, ..none };
        }
        self.last_id += 1;
        let loan = Loan {
            tenant: request.tenant.clone(),
            borrower: borrower.clone(),
            tokens,
            report: LoanReport { loan: self.last_id, ..LoanReport::default() },
            granted_at: now,
            expired: false,
            settled: None,
        };
        self.loans.insert(self.last_id, loan);
        LoanResponse { loan: self.last_id, tokens, wait_ms: wait, ..none }
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
            let point = bucket.settle_lent(Tokens(spent - old.spent), now);
            bucket.reclaim(Tokens(returned - old.returned), now);
            if spent > old.spent {
                loan.settled.get_or_insert(point);
            }
        }
        if let Some(point) = loan.settled {
            bucket.refund(Tokens(refunded - old.refunded), point, now);
        }
        loan.report = LoanReport { loan: report.loan, spent, returned, refunded, closed: false };
        if report.closed {
            self.close_loan(report.loan, now);
        }
    }

    /// Removes a loan after its last report. Tokens that the borrower did not spend have expired.
    fn close_loan(&mut self, loan: u64, now: Duration) {
        let Some(loan) = self.loans.remove(&loan) else { return };
        if let Some(bucket) = self.buckets.get_mut(&loan.tenant) {
            bucket.settle_lent(Tokens(loan.open()), now);
        }
    }

    /// Counts expired loans as spent, and drops loans that are too old for refunds.
    pub fn expire_loans(&mut self, now: Duration) {
        for loan in self.loans.values_mut() {
            if loan.expired || now.saturating_sub(loan.granted_at) < LOAN_EXPIRY {
                continue;
            }
            let open = loan.open();
            loan.expired = true;
            if let Some(bucket) = self.buckets.get_mut(&loan.tenant) {
                let point = bucket.settle_lent(Tokens(open), now);
                loan.settled.get_or_insert(point);
            }
        }
        self.loans.retain(|_, loan| now.saturating_sub(loan.granted_at) < LOAN_RETENTION);
    }
}
