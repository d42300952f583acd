//! Tokens that a process may spend: those of its own buckets and those it borrowed.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::process::VmRef;
use crate::process::quota::{LOAN_TTL, Lender, LoanReport, LoanRequest, LoanResponse, RefundPoint};
use crate::{Offset, TenantName, Tokens};

/// Period for whose expected demand tokens are borrowed ahead of time.
const FORECAST_TIME: Duration = Duration::from_millis(300);
/// Time since the last use of a loan after which an unconfirmed report is sent even if no tokens
/// are wanted.
const REPORT_DELAY: Duration = Duration::from_millis(400);
/// Time without use after which unspent loans are returned.
const IDLE_LOAN_TIMEOUT: Duration = Duration::from_millis(500);
const DEMAND_DECAY: f64 = 0.8; // weight of the previous mean at each tick

#[derive(Clone, Debug)]
enum Part {
    Own { tokens: u64, point: RefundPoint },
    Borrowed { lender: VmRef, loan: u64, tokens: u64 },
}

impl Part {
    fn tokens(&self) -> u64 {
        match self {
            Part::Own { tokens, .. } | Part::Borrowed { tokens, .. } => *tokens,
        }
    }
}

/// Tokens reserved for one request.
#[derive(Clone, Debug)]
pub struct Reservation {
    tenant: TenantName,
    parts: Vec<Part>,
}

impl Reservation {
    /// Returns the number of reserved tokens.
    pub fn tokens(&self) -> Tokens {
        Tokens(self.parts.iter().map(Part::tokens).sum())
    }
}

#[derive(Clone, Debug)]
struct Loan {
    tenant: TenantName,
    created: Offset,
    tokens: u64,
    report: LoanReport,
    confirmed: LoanReport,
    expires: Duration,
    last_used: Duration,
    /// Unsettled reservations that hold tokens of the loan.
    reservations: u32,
}

impl Loan {
    fn open(&self, now: Duration) -> u64 {
        if now >= self.expires {
            return 0;
        }
        self.tokens - self.report.spent - self.report.returned
    }
}

/// Refusal remembered because all lenders together had too few tokens.
#[derive(Clone, Copy, Debug)]
struct Shortage {
    tokens: u64,
    wait: Duration,
    until: Duration,
}

#[derive(Clone, Debug, Default)]
struct DemandEstimate {
    /// Tokens and requests reserved since the last tick.
    tokens: u64,
    requests: u32,
    /// Exponential moving averages of both.
    tokens_per_tick: f64,
    requests_per_tick: f64,
}

/// Tokens to borrow ahead of time: from one lender at a time or, if few tokens are left, from all.
struct Missing {
    tokens: u64,
    from_all: bool,
}

/// Tokens that a process may spend.
#[derive(Debug, Default)]
pub struct TokenPool {
    /// Buckets that the process owns.
    pub lender: Lender,
    loans: BTreeMap<(VmRef, u64), Loan>,
    shortages: BTreeMap<TenantName, Shortage>,
    demand: BTreeMap<TenantName, DemandEstimate>,
    next_lender: usize,
    lease_end: Option<Duration>,
}

impl TokenPool {
    /// Sets the time from which the process may no longer use its slots; `None` for no end.
    pub fn set_lease_end(&mut self, at: Option<Duration>) {
        self.lease_end = at;
    }

    /// Drops the state of tenants that were removed, and the loans of tenants that were created
    /// again.
    pub fn retain(&mut self, created: impl Fn(&TenantName) -> Option<Offset>) {
        self.loans.retain(|_, loan| created(&loan.tenant) == Some(loan.created));
        self.demand.retain(|tenant, _| created(tenant).is_some());
        self.lender.retain(|tenant| created(tenant).is_some());
    }

    /// Processes a loan request of `borrower`; lends nothing after the end of the slots' lease.
    pub fn lend(&mut self, borrower: &VmRef, request: &LoanRequest, now: Duration) -> LoanResponse {
        let wanted = if self.lease_is_valid(now) { request.wanted } else { 0 };
        self.lender.lend(borrower, &LoanRequest { wanted, ..request.clone() }, now)
    }

    fn lease_is_valid(&self, now: Duration) -> bool {
        self.lease_end.is_none_or(|at| now < at)
    }

    /// Returns the number of borrowed loans that are kept.
    pub fn loan_count(&self) -> usize {
        self.loans.len()
    }

    /// Returns the tokens that `tenant` can spend on this process at `now`.
    pub fn available(&mut self, tenant: &TenantName, now: Duration) -> Tokens {
        let own = match self.lender.bucket(tenant) {
            Some(bucket) => bucket.level(now).0,
            None => 0,
        };
        let own = if self.lease_is_valid(now) { own } else { 0 };
        let borrowed = self.loans.values().filter(|loan| loan.tenant == *tenant);
        Tokens(own + borrowed.map(|loan| loan.open(now)).sum::<u64>())
    }

    /// Reserves `tokens`, from borrowed tokens first.
    ///
    /// # Errors
    ///
    /// The number of missing tokens; no tokens are taken in this case.
    pub fn reserve(
        &mut self,
        tenant: &TenantName,
        tokens: Tokens,
        now: Duration,
    ) -> Result<Reservation, Tokens> {
        let available = self.available(tenant, now);
        if available < tokens {
            return Err(Tokens(tokens.0 - available.0));
        }
        let demand = self.demand.entry(tenant.clone()).or_default();
        demand.tokens += tokens.0;
        demand.requests += 1;
        let mut left = tokens.0;
        let mut parts = Vec::new();
        for ((lender, id), loan) in &mut self.loans {
            let part = if loan.tenant == *tenant { loan.open(now).min(left) } else { 0 };
            if part > 0 {
                loan.report.spent += part;
                loan.last_used = now;
                loan.reservations += 1;
                left -= part;
                parts.push(Part::Borrowed { lender: lender.clone(), loan: *id, tokens: part });
            }
        }
        if left > 0 {
            let taken = self.lender.bucket(tenant).and_then(|b| b.take(Tokens(left), now));
            let point = taken.unwrap_or_default();
            parts.push(Part::Own { tokens: left, point });
        }
        Ok(Reservation { tenant: tenant.clone(), parts })
    }

    /// Settles a reservation of which `used` tokens were used, and refunds the rest.
    pub fn settle(&mut self, reservation: Reservation, used: Tokens, now: Duration) {
        let mut unused = reservation.tokens().0.saturating_sub(used.0);
        for part in reservation.parts.iter().rev() {
            let refund = part.tokens().min(unused);
            unused -= refund;
            match part {
                Part::Own { point, .. } => {
                    if let Some(bucket) = self.lender.bucket(&reservation.tenant) {
                        bucket.refund(Tokens(refund), *point, now);
                    }
                }
                Part::Borrowed { lender, loan, .. } => {
                    if let Some(loan) = self.loans.get_mut(&(lender.clone(), *loan)) {
                        loan.report.refunded += refund;
                        loan.reservations -= 1;
                    }
                }
            }
        }
    }

    /// Records that all lenders together had too few tokens to lend `tokens`, and the wait until
    /// they expect to have enough.
    pub fn record_shortage(
        &mut self,
        tenant: &TenantName,
        tokens: Tokens,
        wait: Duration,
        now: Duration,
    ) {
        let shortage = Shortage { tokens: tokens.0, wait, until: now + wait.min(SHORTAGE_TTL) };
        self.shortages.insert(tenant.clone(), shortage);
    }

    /// Returns the wait if as many tokens were refused a moment ago, so that not every request of a
    /// tenant far above its rate costs a round of loan requests.
    pub fn shortage_wait(
        &self,
        tenant: &TenantName,
        tokens: Tokens,
        now: Duration,
    ) -> Option<Duration> {
        let shortage = self.shortages.get(tenant)?;
        (now < shortage.until && tokens.0 >= shortage.tokens).then_some(shortage.wait)
    }

    /// Adds a loan that was requested at `requested_at`, on the clock of this process.
    pub fn add_loan(
        &mut self,
        lender: &VmRef,
        lent: &LoanResponse,
        requested_at: Duration,
        now: Duration,
    ) {
        if lent.tokens == 0 {
            return;
        }
        let report = LoanReport { loan: lent.loan, ..LoanReport::default() };
        let loan = Loan {
            tenant: lent.tenant.clone(),
            created: lent.created,
            tokens: lent.tokens,
            report,
            confirmed: report,
            expires: requested_at + LOAN_TTL,
            last_used: now,
            reservations: 0,
        };
        self.loans.entry((lender.clone(), lent.loan)).or_insert(loan);
    }

    /// Returns the loan requests for the missing tokens of one request: to the next lender in turn
    /// or, if `all` is set, to each lender for the full number.
    pub fn request_missing(
        &mut self,
        tenant: &(TenantName, Offset),
        missing: Tokens,
        lenders: &[(VmRef, u16)],
        all: bool,
    ) -> Vec<(VmRef, LoanRequest)> {
        self.next_lender = self.next_lender.wrapping_add(1);
        let next = self.next_lender % lenders.len().max(1);
        let chosen = lenders.iter().enumerate().filter(|(i, _)| all || *i == next);
        let loan_requests = chosen
            .map(|(_, (lender, _))| (lender.clone(), self.loan_request(lender, tenant, missing.0)));
        loan_requests.collect()
    }

    /// Runs the periodic work and returns its loan requests, which borrow for expected demand,
    /// return idle loans and carry reports. `lenders` returns the other processes that hold slots
    /// of a tenant and the number of these slots.
    pub fn tick(
        &mut self,
        lenders: impl Fn(&TenantName) -> Vec<(VmRef, u16)>,
        created: impl Fn(&TenantName) -> Option<Offset>,
        tick: Duration,
        now: Duration,
    ) -> Vec<(VmRef, LoanRequest)> {
        self.lender.expire_loans(now);
        self.return_idle_loans(now);
        self.close_ended_loans(now);
        self.next_lender = self.next_lender.wrapping_add(1);
        let mut loan_requests = Vec::new();
        for tenant in self.active_tenants() {
            let Some(offset) = created(&tenant) else { continue };
            let missing = self.forecast_missing(&tenant, tick, now);
            let lenders = lenders(&tenant);
            let slots: u64 = lenders.iter().map(|(_, slots)| u64::from(*slots)).sum();
            let from_all = missing.from_all;
            let next = self.next_lender % lenders.len().max(1);
            let tenant = (tenant, offset);
            for (i, (lender, share)) in lenders.into_iter().enumerate() {
                let wanted = match from_all {
                    true => (missing.tokens * u64::from(share)).div_ceil(slots.max(1)),
                    false if i == next => missing.tokens,
                    false => 0,
                };
                if wanted > 0 || self.has_due_report(&lender, &tenant.0, now) {
                    loan_requests
                        .push((lender.clone(), self.loan_request(&lender, &tenant, wanted)));
                }
            }
        }
        loan_requests
    }

    /// Reports whether an unconfirmed report has waited long enough for a message of its own.
    fn has_due_report(&self, lender: &VmRef, tenant: &TenantName, now: Duration) -> bool {
        self.loans.iter().any(|((holder, _), loan)| {
            let unconfirmed = loan.tenant == *tenant && loan.report != loan.confirmed;
            holder == lender && unconfirmed && now.saturating_sub(loan.last_used) >= REPORT_DELAY
        })
    }

    fn active_tenants(&self) -> Vec<TenantName> {
        let borrowed = self.loans.values().filter(|loan| loan.report != loan.confirmed);
        let mut names: Vec<TenantName> = borrowed.map(|loan| loan.tenant.clone()).collect();
        names.extend(self.demand.keys().cloned());
        names.sort();
        names.dedup();
        names
    }

    fn forecast_missing(&mut self, tenant: &TenantName, tick: Duration, now: Duration) -> Missing {
        let available = self.available(tenant, now).0;
        let none = Missing { tokens: 0, from_all: false };
        let Some(demand) = self.demand.get_mut(tenant) else { return none };
        let requests = std::mem::take(&mut demand.requests) as f64;
        let tokens = std::mem::take(&mut demand.tokens) as f64;
        demand.tokens_per_tick =
            demand.tokens_per_tick * DEMAND_DECAY + tokens * (1.0 - DEMAND_DECAY);
        demand.requests_per_tick =
            demand.requests_per_tick * DEMAND_DECAY + requests * (1.0 - DEMAND_DECAY);
        if demand.tokens_per_tick < 0.5 {
            self.demand.remove(tenant);
            return none;
        }
        let ticks = FORECAST_TIME.as_secs_f64() / tick.as_secs_f64().max(0.001);
        if demand.requests_per_tick * ticks < 1.0 {
            return none;
        }
        let wanted = (demand.tokens_per_tick * ticks) as u64;
        Missing { tokens: wanted.saturating_sub(available), from_all: available < wanted / 2 }
    }

    fn return_idle_loans(&mut self, now: Duration) {
        for loan in self.loans.values_mut() {
            if now.saturating_sub(loan.last_used) >= IDLE_LOAN_TIMEOUT {
                loan.report.returned += loan.open(now);
            }
        }
    }

    /// Closes loans without reservations or open tokens, and drops those whose lender has confirmed
    /// the last report.
    fn close_ended_loans(&mut self, now: Duration) {
        for loan in self.loans.values_mut() {
            loan.report.closed |= loan.reservations == 0 && loan.open(now) == 0;
        }
        self.loans.retain(|_, loan| {
            let known = loan.report.closed && loan.confirmed == loan.report;
            // A loan is kept until it expires, so that a duplicate response does not add it again.
            (!known || now < loan.expires) && now < loan.expires + LOAN_RETENTION
        });
    }

    /// Marks all unspent loans of a tenant as returned, after a request that could not be served.
    pub fn return_unspent(&mut self, tenant: &TenantName, now: Duration) {
        for loan in self.loans.values_mut().filter(|loan| loan.tenant == *tenant) {
            loan.report.returned += loan.open(now);
        }
    }

    /// Returns a loan request that carries the reports not yet confirmed by the lender.
    fn loan_request(
        &self,
        lender: &VmRef,
        tenant: &(TenantName, Offset),
        wanted: u64,
    ) -> LoanRequest {
        let mine = self.loans.iter().filter(|((holder, _), _)| holder == lender);
        let unconfirmed =
            mine.filter(|(_, loan)| loan.tenant == tenant.0 && loan.report != loan.confirmed);
        let reports = unconfirmed.map(|(_, loan)| loan.report).collect();
        LoanRequest { tenant: tenant.0.clone(), created: tenant.1, wanted, reports }
    }

    /// Records that the lender has received `reports`.
    pub fn record_confirmation(&mut self, lender: &VmRef, reports: &[LoanReport]) {
        for report in reports {
            if let Some(loan) = self.loans.get_mut(&(lender.clone(), report.loan)) {
                loan.confirmed = *report;
            }
        }
    }
}

const SHORTAGE_TTL: Duration = Duration::from_millis(100); // how long a shortage is remembered
const LOAN_RETENTION: Duration = Duration::from_secs(600); // after expiry, for refunds
