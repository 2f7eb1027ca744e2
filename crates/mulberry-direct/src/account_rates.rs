//! Keeps the request rates of client accounts over all entries: asks the account's granting entry by
//! datagram where the own replica does not suffice, and answers such questions.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::Ordering;
use std::time::Duration;

use indexmap::IndexMap;
use rand::Rng;
use tokio::sync::oneshot;

use mulberry_policy::account_rates::AccountRates;
use mulberry_policy::account_rates::FleetView;
use mulberry_policy::account_rates::Unasked;
use mulberry_policy::account_rates::granting_entry;
use mulberry_policy::account_usage::TakenByPeer;
use mulberry_policy::endpoint_limits::OtherEntry;
use mulberry_policy::rate_replica::RateBounds;
use mulberry_policy::rate_replica::RateLimit;
use mulberry_protocol::account::ClientAccount;
use mulberry_protocol::account_rate::RateDecision;
use mulberry_protocol::account_rate::RateMessage;
use mulberry_protocol::account_rate::encode_rate_message;
use mulberry_protocol::event::Event;
use mulberry_protocol::log_event;
use mulberry_protocol::name::EntryName;
use mulberry_protocol::refusal::Refusal;
use mulberry_protocol::refusal::RefusalReason;
use mulberry_protocol::refusal::RunState;
use mulberry_protocol::route::Configuration;
use mulberry_protocol::time::Millis;

use crate::limits::entry_interval_ms;
use crate::limits::heard_ttl_ms;
use crate::settings::QuotaBounds;
use crate::shared::SharedState;
use crate::shared::lock;

/// Time for which a question waits for its answer. A refusal is to come at once, so it is short.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(40);

/// Entries that are asked about one request before this one decides by itself.
const MAX_ASKED: u32 = 2;

/// Time for which an entry that does not answer is not asked again, in milliseconds.
const PASS_OVER_MS: u64 = 1_000;

/// Number of entries that are assumed until the members have been listed, so that entries that start
/// together don't each use the whole limit.
const UNLISTED_ENTRIES: usize = 24;

/// The rates of accounts at this process, and its open questions.
#[derive(Debug)]
pub struct RateDesk {
    rates: Mutex<Rates>,
    questions: Mutex<IndexMap<u64, oneshot::Sender<RateDecision>>>,
    passed_over_until: Mutex<IndexMap<EntryName, Millis>>,
}

/// The replicas, and the version of the configuration whose limits they keep.
#[derive(Debug)]
struct Rates {
    replicas: AccountRates,
    version: u64,
}

impl RateDesk {
    /// Returns the state of a process that starts.
    pub fn new(bounds: QuotaBounds, own: &EntryName, now: Millis) -> Self {
        let QuotaBounds { window_ms, overage, slack } = bounds;
        let replicas = AccountRates::new(RateBounds { window_ms, overage, slack }, own, now);
        Self {
            rates: Mutex::new(Rates { replicas, version: 0 }),
            questions: Mutex::default(),
            passed_over_until: Mutex::default(),
        }
    }
}

/// Forgets a question when dropped, also where its request is given up.
struct OpenQuestion<'a> {
    desk: &'a RateDesk,
    question: u64,
}

impl Drop for OpenQuestion<'_> {
    fn drop(&mut self) {
        lock(&self.desk.questions).swap_remove(&self.question);
    }
}

/// A request that was counted against its account's rate.
pub struct RateCharge {
    shared: Arc<SharedState>,
    account: Option<u32>,
}

impl RateCharge {
    /// Gives the request back if it was refused without having run.
    pub fn settle<T>(self, relayed: &Result<T, Refusal>) {
        let is_not_run = relayed.as_ref().is_err_and(|r| r.run == RunState::NotRun);
        if let Some(account) = self.account.filter(|_| is_not_run) {
            self.shared.give_back_request(account);
        }
    }
}

impl SharedState {
    /// Counts an online request against its account's rate, or refuses it.
    pub async fn charge_rate(
        self: &Arc<Self>,
        account: Option<&ClientAccount>,
    ) -> Result<RateCharge, Refusal> {
        let Some(account) = account.filter(|a| a.is_limited()) else {
            return Ok(RateCharge { shared: self.clone(), account: None });
        };
        match self.decide_rate(account.id()).await {
            RateDecision::Granted => {
                Ok(RateCharge { shared: self.clone(), account: Some(account.id()) })
            }
            RateDecision::Refused { wait_ms } => {
                let label = self.account_labels.label(&account.name);
                self.metrics.count_reason("direct.account_rate_refusals", &label);
                let detail = format!(
                    "account {} is over its rate of {} requests a second",
                    account.name, account.requests_per_s
                );
                Err(Refusal::not_run(RefusalReason::ClientRate, detail).retry_after(wait_ms))
            }
        }
    }

    async fn decide_rate(&self, account: u32) -> RateDecision {
        for _ in 0..MAX_ASKED {
            let Some((granter, address)) = self.granting_entry(account) else {
                return self.decide_own("own", account, AccountRates::decide);
            };
            if self.take_unasked(account) {
                return RateDecision::Granted;
            }
            if let Some(decision) = self.ask_about_rate(&granter, address, account).await {
                self.count_decision("asked", &decision);
                return decision;
            }
        }
        match self.granting_entry(account) {
            None => self.decide_own("own", account, AccountRates::decide),
            Some(_) => self.decide_own("alone", account, AccountRates::decide_alone),
        }
    }

    fn take_unasked(&self, account: u32) -> bool {
        let take = |rates: &mut AccountRates, now| rates.take_unasked(account, now);
        let is_taken = self.with_rates(take) == Unasked::Taken;
        if is_taken {
            self.account_usages().take(account, self.clock.now());
            self.metrics.count_reason("direct.account_rates", "own-granted");
        }
        is_taken
    }

    fn decide_own(
        &self,
        by: &'static str,
        account: u32,
        decide: impl FnOnce(&mut AccountRates, u32, Millis) -> RateDecision,
    ) -> RateDecision {
        let decision = self.with_rates(|rates, now| decide(rates, account, now));
        if decision == RateDecision::Granted {
            self.account_usages().take(account, self.clock.now());
        }
        self.count_decision(by, &decision);
        decision
    }

    fn count_decision(&self, by: &str, decision: &RateDecision) {
        let outcome = match decision {
            RateDecision::Granted => "granted",
            RateDecision::Refused { .. } => "refused",
        };
        self.metrics.count_reason("direct.account_rates", &format!("{by}-{outcome}"));
    }

    async fn ask_about_rate(
        &self,
        granter: &EntryName,
        address: SocketAddr,
        account: u32,
    ) -> Option<RateDecision> {
        let question = rand::rng().random();
        let (tx, rx) = oneshot::channel();
        lock(&self.rate_desk.questions).insert(question, tx);
        let _open = OpenQuestion { desk: &self.rate_desk, question };
        let reply_to = self.settings.advertised;
        self.send_rate_message(address, &RateMessage::Ask { question, reply_to, account });
        let answered = tokio::time::timeout(ANSWER_TIMEOUT, rx).await;
        let decision = answered.ok().and_then(Result::ok);
        if decision.is_none() {
            self.pass_over(granter);
        }
        decision
    }

    /// Records that an entry has not answered.
    fn pass_over(&self, granter: &EntryName) {
        self.metrics.count("direct.account_rates_unanswered");
        let now = self.clock.now();
        let mut passed_over = lock(&self.rate_desk.passed_over_until);
        let before = passed_over.insert(granter.clone(), now + PASS_OVER_MS);
        if before.is_none_or(|until| until <= now) {
            log_event!(info, Event::AccountRateUnanswered, peer = %granter, span_ms = PASS_OVER_MS);
        }
    }

    /// Carries out a message of a peer.
    pub(crate) fn apply_rate_message(&self, message: RateMessage) {
        match message {
            RateMessage::Ask { question, reply_to, account } => {
                let decision = self.decide_own("answered", account, AccountRates::decide);
                let answer = RateMessage::Answer { question, account, decision };
                self.send_rate_message(reply_to, &answer);
            }
            RateMessage::Answer { question, account, decision } => {
                let open = lock(&self.rate_desk.questions).swap_remove(&question);
                let unread = match open {
                    Some(tx) => tx.send(decision).err(),
                    None => Some(decision),
                };
                if unread == Some(RateDecision::Granted) {
                    // The request was decided about without the answer, which came too late.
                    self.give_back_request(account);
                }
            }
        }
    }

    /// Counts what a peer has taken since its report before. What it took while it was not heard is left
    /// out: for that time, this process went by a smaller share of the limits.
    pub(crate) fn record_taken_by_peer(&self, taken: &[TakenByPeer], was_heard: bool) {
        if taken.is_empty() || !was_heard {
            return;
        }
        self.with_rates(|rates, now| {
            taken.iter().for_each(|t| rates.record_taken(t.account, t.requests, now));
        });
    }

    /// Returns whether a peer was heard lately.
    pub(crate) fn is_heard(&self, peer: &EntryName) -> bool {
        let ttl_ms = heard_ttl_ms(self.other_entries());
        let heard_at = self.peers().get(peer).and_then(|p| p.heard_at);
        heard_at.is_some_and(|at| self.clock.now().since(at) < ttl_ms)
    }

    /// Records which entries are heard. Called regularly, which also shows when the process was frozen.
    pub(crate) fn observe_entries(&self) {
        self.with_rates(|_, _| {});
    }

    fn give_back_request(&self, account: u32) {
        self.metrics.count("direct.account_rates_given_back");
        self.with_rates(|rates, now| rates.give_back(account, now));
        self.account_usages().give_back(account, self.clock.now());
    }

    /// Calls `act` with the replicas, which keep the limits of the configuration in force and know which
    /// entries are heard now.
    fn with_rates<T>(&self, act: impl FnOnce(&mut AccountRates, Millis) -> T) -> T {
        let view = self.with_other_entries(|_| false, |others, _| self.fleet_view(others));
        let now = self.clock.now();
        let configuration = self.configuration.load();
        let mut rates = lock(&self.rate_desk.rates);
        rates.replicas.observe(view, now);
        if let Some(configuration) = configuration.as_ref().filter(|c| c.version != rates.version) {
            rates.version = configuration.version;
            rates.replicas.set_limits(limits_of(configuration), now);
        }
        act(&mut rates.replicas, now)
    }

    fn fleet_view(&self, others: &[OtherEntry<'_>]) -> FleetView {
        let view = FleetView::new(others, entry_interval_ms(others.len()));
        let known = if self.has_listed_members.load(Ordering::Relaxed) {
            view.known
        } else {
            UNLISTED_ENTRIES
        };
        FleetView { known: view.known.max(known), heard: view.heard }
    }

    fn granting_entry(&self, account: u32) -> Option<(EntryName, SocketAddr)> {
        let now = self.clock.now();
        let is_passed_over = |name: &EntryName| {
            lock(&self.rate_desk.passed_over_until).get(name).is_some_and(|until| *until > now)
        };
        self.with_other_entries(
            |_| false,
            |others, addresses| {
                let position =
                    granting_entry(account, &self.settings.name, others, is_passed_over)?;
                Some((others[position].name.clone(), addresses[position]))
            },
        )
    }

    fn send_rate_message(&self, to: SocketAddr, message: &RateMessage) {
        let (Some(socket), Some(secrets)) = (self.datagrams.get(), self.secrets.load_full()) else {
            return;
        };
        match encode_rate_message(message, &secrets) {
            // A datagram that can't be sent is treated like one lost on the way.
            Ok(datagram) => drop(socket.try_send_to(&datagram, to)),
            Err(e) => log_event!(error, Event::DatagramRefused, error = %e),
        }
    }
}

/// Returns the limits of the accounts that have one.
fn limits_of(configuration: &Configuration) -> IndexMap<u32, RateLimit> {
    let accounts = configuration.accounts.iter().flat_map(|accounts| accounts.iter());
    let limited = accounts.filter(|account| account.is_limited());
    limited.map(|a| (a.id(), RateLimit::new(a.requests_per_s, a.burst))).collect()
}
