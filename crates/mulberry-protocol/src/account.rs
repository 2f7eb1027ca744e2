//! Client accounts of a deployment without sides: their API keys, priorities and rates.

use std::sync::Arc;

use indexmap::IndexMap;
use miette::Diagnostic;
use thiserror::Error;

use crate::auth::key_digest;
use crate::digest::Digest;
use crate::digest::stable_hash;
use crate::name::ClientName;
use crate::refusal::Refusal;
use crate::refusal::RefusalReason;
use crate::value_type;

/// Longest API key that is looked up, in bytes.
pub const MAX_KEY_BYTES: usize = 256;

value_type! {
    /// One client account.
    pub struct ClientAccount {
        /// Name of the account, which endpoints and logs see instead of a key.
        pub name: ClientName,
        /// Digests of its API keys.
        pub key_digests: Vec<Digest>,
        /// Priority of its requests instead of that of their route; zero is the most urgent.
        pub priority: Option<u32>,
        /// Sustained rate of online requests at all entries together, per second; zero for no limit.
        pub requests_per_s: f64,
        /// Number of online requests that may exceed the sustained rate at once.
        pub burst: f64,
    }
}

impl ClientAccount {
    /// Returns whether the account's rate is limited.
    pub fn is_limited(&self) -> bool {
        self.requests_per_s > 0.0
    }

    /// Returns the number by which processes name the account to each other.
    pub fn id(&self) -> u32 {
        account_id(&self.name)
    }
}

/// Returns the number by which processes name an account to each other, the same in each of them.
pub fn account_id(name: &ClientName) -> u32 {
    stable_hash(name.as_str().as_bytes(), ACCOUNT_SEED) as u32
}

/// Seed of [`account_id`].
const ACCOUNT_SEED: u64 = 0x6163_636f;

/// Why a list of accounts can't be used.
#[derive(Debug, Clone, PartialEq, Error, Diagnostic)]
pub enum AccountError {
    /// An account's name is empty or not printable ASCII.
    #[error("an account has no name, or one that can't be sent in a header")]
    #[diagnostic(code(mulberryshed::account::unnamed))]
    Unnamed,
    /// Two accounts have the same name.
    #[error("two accounts are named {name}")]
    #[diagnostic(code(mulberryshed::account::same_name))]
    SameName {
        /// The name.
        name: ClientName,
    },
    /// Two accounts hold the same key, so that a request could belong to either.
    #[error("accounts {first} and {second} hold the same key")]
    #[diagnostic(code(mulberryshed::account::same_key))]
    SameKey {
        /// Account that is listed first.
        first: ClientName,
        /// Account that is listed later.
        second: ClientName,
    },
    /// A key can't be sent in a header, or is too long.
    #[error("a key of account {name} is empty, too long or not printable ASCII")]
    #[diagnostic(code(mulberryshed::account::key))]
    UnusableKey {
        /// Name of the account.
        name: ClientName,
    },
    /// A rate or burst is negative or not finite.
    #[error("the {what} of account {name} is {value}, but must be finite and not negative")]
    #[diagnostic(code(mulberryshed::account::rate))]
    BadRate {
        /// Name of the account.
        name: ClientName,
        /// Which figure.
        what: &'static str,
        /// Its value.
        value: f64,
    },
}

/// An account as the configuration states it, before it is checked. It has no `Debug`, which would show the
/// keys.
#[derive(Clone)]
pub struct StatedAccount {
    /// Name of the account.
    pub name: String,
    /// Its API keys.
    pub keys: Vec<String>,
    /// See [`ClientAccount::priority`].
    pub priority: Option<u32>,
    /// See [`ClientAccount::requests_per_s`].
    pub requests_per_s: f64,
    /// See [`ClientAccount::burst`].
    pub burst: f64,
}

/// The client accounts of one configuration.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Accounts {
    by_name: IndexMap<ClientName, Arc<ClientAccount>>,
    by_key: IndexMap<Digest, Arc<ClientAccount>>,
}

impl Accounts {
    /// Checks the accounts of a configuration. Keys are kept as digests only.
    pub fn new(stated: Vec<StatedAccount>) -> Result<Self, AccountError> {
        let mut accounts = Self::default();
        for account in stated {
            accounts.add(account)?;
        }
        Ok(accounts)
    }

    fn add(&mut self, stated: StatedAccount) -> Result<(), AccountError> {
        if stated.name.is_empty() || !stated.name.bytes().all(|b| b.is_ascii_graphic()) {
            return Err(AccountError::Unnamed);
        }
        let name = ClientName::new(&stated.name);
        if self.by_name.contains_key(&name) {
            return Err(AccountError::SameName { name });
        }
        for (what, value) in [("rate", stated.requests_per_s), ("burst", stated.burst)] {
            if !value.is_finite() || value < 0.0 {
                return Err(AccountError::BadRate { name, what, value });
            }
        }
        if !stated.keys.iter().all(|key| is_usable_key(key.as_bytes())) {
            return Err(AccountError::UnusableKey { name });
        }
        let account = Arc::new(ClientAccount {
            name: name.clone(),
            key_digests: stated.keys.iter().map(|key| key_digest(key)).collect(),
            priority: stated.priority,
            requests_per_s: stated.requests_per_s,
            burst: stated.burst,
        });
        for digest in &account.key_digests {
            let known = self.by_key.insert(digest.clone(), account.clone());
            if let Some(first) = known.filter(|first| first.name != name) {
                return Err(AccountError::SameKey { first: first.name.clone(), second: name });
            }
        }
        self.by_name.insert(name, account);
        Ok(())
    }

    /// Returns the account that holds a key.
    pub fn with_key(&self, key: &str) -> Option<&Arc<ClientAccount>> {
        self.with_digest(&key_digest(key))
    }

    /// Returns the account that holds the key with this digest.
    pub fn with_digest(&self, digest: &Digest) -> Option<&Arc<ClientAccount>> {
        self.by_key.get(digest)
    }

    /// Returns the account with a name.
    pub fn with_name(&self, name: &ClientName) -> Option<&Arc<ClientAccount>> {
        self.by_name.get(name)
    }

    /// Returns all accounts, in the order of the configuration.
    pub fn iter(&self) -> impl ExactSizeIterator<Item = &Arc<ClientAccount>> {
        self.by_name.values()
    }
}

/// Returns the key of a request, given the values of the header that holds it, or the refusal of a request
/// that doesn't have exactly one usable key. The refusal never holds the key.
///
/// Both HTTP front ends decide by this function, whatever header holds the key.
pub fn single_key<'a>(mut values: impl Iterator<Item = &'a [u8]>) -> Result<&'a str, Refusal> {
    let refuse = |reason, detail: &str| Err(Refusal::not_run(reason, detail));
    let Some(key) = values.next() else {
        return refuse(RefusalReason::KeyMissing, "the request has no API key");
    };
    if values.next().is_some() {
        return refuse(RefusalReason::KeyUnknown, "the request has more than one API key");
    }
    match std::str::from_utf8(key) {
        Ok(text) if is_usable_key(key) => Ok(text),
        _ => {
            let detail = "the API key is empty, too long or not printable ASCII";
            refuse(RefusalReason::KeyUnknown, detail)
        }
    }
}

fn is_usable_key(key: &[u8]) -> bool {
    (1..=MAX_KEY_BYTES).contains(&key.len()) && key.iter().all(u8::is_ascii_graphic)
}
