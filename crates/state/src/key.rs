//! Keys: what a submitter shows. Only a salted hash is ever kept.
//!
//! A key's text is `pf.<key id>.<secret>`, where the secret is 32 random bytes
//! in hexadecimal. A secret of 256 random bits cannot be guessed, so one round
//! of SHA-256 with a salt is enough and costs well under a microsecond on the
//! request path (`docs/DESIGN.md`, "Keys").

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

use crate::{KeyId, TeamId};

const KEY_PREFIX: &str = "pf";
const SECRET_BYTES: usize = 32;

/// Says why a text is not a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KeyError;

impl fmt::Display for KeyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "a key has the form pf.<key id>.<64 hexadecimal digits>")
    }
}

impl std::error::Error for KeyError {}

/// A key in clear. It has no `Debug` of its content, so it cannot be logged.
#[derive(Clone, PartialEq, Eq)]
pub struct KeyText {
    key: KeyId,
    secret: [u8; SECRET_BYTES],
}

impl KeyText {
    /// Builds a key from its id and 32 random bytes.
    pub fn new(key: KeyId, secret: [u8; SECRET_BYTES]) -> Self {
        Self { key, secret }
    }

    /// The public part, which may be logged.
    pub fn id(&self) -> &KeyId {
        &self.key
    }

    /// The text to show its holder once.
    pub fn reveal(&self) -> String {
        format!("{KEY_PREFIX}.{}.{}", self.key, to_hex(&self.secret))
    }

    fn digest(&self, salt: &str) -> [u8; 32] {
        let mut hasher = Sha256::new();
        hasher.update(salt.as_bytes());
        hasher.update([0]);
        hasher.update(self.secret);
        hasher.finalize().into()
    }
}

impl fmt::Debug for KeyText {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "KeyText({})", self.key)
    }
}

impl FromStr for KeyText {
    type Err = KeyError;

    fn from_str(text: &str) -> Result<Self, KeyError> {
        let rest = text.strip_prefix("pf.").ok_or(KeyError)?;
        let (id, secret) = rest.rsplit_once('.').ok_or(KeyError)?;
        let key = id.parse().map_err(|_| KeyError)?;
        let secret = from_hex(secret).ok_or(KeyError)?;
        Ok(Self { key, secret })
    }
}

/// What the configuration keeps of a key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyRecord {
    /// The team that the key speaks for.
    pub team: TeamId,
    /// Random text that makes equal secrets differ in the document.
    pub salt: Box<str>,
    /// SHA-256 over salt and secret, in hexadecimal.
    pub digest: Box<str>,
}

impl KeyRecord {
    /// The record of `text` for `team` under `salt`.
    pub fn seal(text: &KeyText, team: TeamId, salt: &str) -> Self {
        let digest = to_hex(&text.digest(salt)).into();
        Self { team, salt: salt.into(), digest }
    }

    /// Compares in constant time, so that an answer's delay tells nothing.
    pub fn matches(&self, text: &KeyText) -> bool {
        let Some(expected) = from_hex(&self.digest) else {
            return false;
        };
        text.digest(&self.salt).ct_eq(&expected).into()
    }
}

/// The operators' key as the settings file keeps it: `<salt>:<digest>`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OperatorKey {
    salt: Box<str>,
    digest: [u8; SECRET_BYTES],
}

impl OperatorKey {
    /// The record of `text` under `salt`.
    pub fn seal(text: &KeyText, salt: &str) -> Self {
        Self { salt: salt.into(), digest: text.digest(salt) }
    }

    /// Compares in constant time.
    pub fn matches(&self, text: &KeyText) -> bool {
        text.digest(&self.salt).ct_eq(&self.digest).into()
    }
}

impl fmt::Display for OperatorKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.salt, to_hex(&self.digest))
    }
}

impl FromStr for OperatorKey {
    type Err = &'static str;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        const FORM: &str =
            "expected <salt>:<64 hexadecimal digits>, as `pollenfall key hash` prints it";
        let (salt, digest) = text.split_once(':').ok_or(FORM)?;
        let digest = from_hex(digest).ok_or(FORM)?;
        Ok(Self { salt: salt.into(), digest })
    }
}

fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn from_hex(text: &str) -> Option<[u8; SECRET_BYTES]> {
    if text.len() != SECRET_BYTES * 2 || !text.is_ascii() {
        return None;
    }
    let mut bytes = [0; SECRET_BYTES];
    for (index, byte) in bytes.iter_mut().enumerate() {
        *byte = u8::from_str_radix(&text[index * 2..index * 2 + 2], 16).ok()?;
    }
    Some(bytes)
}
