//! Counts what is relayed and refused for each client account.

use std::sync::Mutex;

use actix_web::HttpRequest;
use indexmap::IndexMap;

use mulberry_protocol::account::ClientAccount;
use mulberry_protocol::name::ClientName;

use crate::accounts::known_account;
use crate::shared::SharedState;
use crate::shared::lock;

/// Most accounts that have counters of their own, several times as many as a deployment is to have at once.
/// Accounts come and go with configurations, but counters stay as long as the process.
pub const MAX_LABELS: usize = 8_192;

/// Longest name of an account in the name of a counter, in characters.
const MAX_LABEL_CHARS: usize = 64;

/// Counts all accounts after the first [`MAX_LABELS`].
const OTHER_ACCOUNTS: &str = "other-accounts";

/// Names of accounts as they stand in the names of counters.
#[derive(Debug, Default)]
pub struct AccountLabels {
    labels: Mutex<IndexMap<ClientName, String>>,
}

impl AccountLabels {
    /// Returns the part of a counter's name that stands for the account.
    pub fn label(&self, name: &ClientName) -> String {
        let mut labels = lock(&self.labels);
        if let Some(label) = labels.get(name) {
            return label.clone();
        }
        if labels.len() >= MAX_LABELS {
            return OTHER_ACCOUNTS.to_owned();
        }
        let safe = |c: char| if c.is_ascii_alphanumeric() || c == '-' { c } else { '_' };
        let label: String = name.as_str().chars().take(MAX_LABEL_CHARS).map(safe).collect();
        labels.insert(name.clone(), label.clone());
        label
    }
}

impl SharedState {
    /// Counts a request whose response an endpoint began, if it belongs to an account.
    pub(crate) fn count_relayed(&self, account: Option<&ClientAccount>) {
        if let Some(account) = account {
            let label = self.account_labels.label(&account.name);
            self.metrics.count_reason("direct.accounts_relayed", &label);
        }
    }

    /// Counts a refused request or call on a job, if it is known to belong to an account. Returns the
    /// account's name for log lines, empty if there is none.
    pub(crate) fn count_refused(&self, req: &HttpRequest) -> String {
        let Some(account) = known_account(req) else { return String::new() };
        let label = self.account_labels.label(&account.name);
        self.metrics.count_reason("direct.accounts_refused", &label);
        account.name.as_str().to_owned()
    }
}
