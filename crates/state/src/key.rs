//! Keys that authenticate submitters, callers and operators. Only a salted hash of a key is stored.
//!
//! The text of a key is `pf.<key id>.<secret>`, where the secret is 32 random bytes in hexadecimal.
//! A secret of 256 random bits cannot be guessed, so one round of SHA-256 with a salt is sufficient
//! and costs well under a microsecond on the request path (`docs/DESIGN.md`, "Keys").

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

use crate::{KeyId, TeamId};

const KEY_PREFIX: &str = "pf";
const SECRET_BYTES: usize = 32;

/// Error for a text that is not a key; holds nothing of the text, which may contain a secret.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KeyError;

impl fmt::Display for KeyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "a key has the form pf.<key id>.<64 hexadecimal digits>")
    }
}

impl std::error::Error for KeyError {}

/// Key in plain text. The `Debug` output contains only the key's id, so the secret cannot be
/// logged.
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

    /// Returns the public part of the key, which may be logged.
    pub fn id(&self) -> &KeyId {
        &self.key
    }

    /// Returns the full text of the key, which is shown to the key's owner once.
    pub fn to_plain_text(&self) -> String {
        format!("{KEY_PREFIX}.{}.{}", self.key, encode_hex(&self.secret))
    }

    fn salted_digest(&self, salt: &str) -> [u8; 32] {
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
        let secret = decode_hex(secret).ok_or(KeyError)?;
        Ok(Self { key, secret })
    }
}

/// Record of a key in the configuration: a salted hash without the secret.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyRecord {
    /// Team that the key authenticates.
    pub team: TeamId,
    /// Random text that makes the digests of equal secrets differ.
    pub salt: Box<str>,
    /// SHA-256 of the salt, a zero byte and the secret, in hexadecimal.
    pub digest: Box<str>,
}

impl KeyRecord {
    /// Creates the record of the key `text` for `team`, hashed with `salt`.
    pub fn from_key_text(text: &KeyText, team: TeamId, salt: &str) -> Self {
        let digest = encode_hex(&text.salted_digest(salt)).into();
        Self { team, salt: salt.into(), digest }
    }

    /// Returns whether `text` is the recorded key. The comparison takes constant time, so the
    /// response time reveals nothing about the digest.
    pub fn matches(&self, text: &KeyText) -> bool {
        let Some(expected) = decode_hex(&self.digest) else {
            return false;
        };
        text.salted_digest(&self.salt).ct_eq(&expected).into()
    }
}

/// Salted hash of the operators' key, written in the settings file as `<salt>:<digest>`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OperatorKey {
    salt: Box<str>,
    digest: [u8; SECRET_BYTES],
}

impl OperatorKey {
    /// Creates the salted hash of the key `text` with `salt`.
    pub fn from_key_text(text: &KeyText, salt: &str) -> Self {
        Self { salt: salt.into(), digest: text.salted_digest(salt) }
    }

    /// Returns whether `text` is the operators' key. The comparison takes constant time.
    pub fn matches(&self, text: &KeyText) -> bool {
        text.salted_digest(&self.salt).ct_eq(&self.digest).into()
    }
}

impl fmt::Display for OperatorKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.salt, encode_hex(&self.digest))
    }
}

impl FromStr for OperatorKey {
    type Err = &'static str;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        const EXPECTED_FORMAT: &str =
            "expected <salt>:<64 hexadecimal digits>, as `pollenfall key hash` prints it";
        let (salt, digest) = text.split_once(':').ok_or(EXPECTED_FORMAT)?;
        let digest = decode_hex(digest).ok_or(EXPECTED_FORMAT)?;
        Ok(Self { salt: salt.into(), digest })
    }
}

fn encode_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn decode_hex(text: &str) -> Option<[u8; SECRET_BYTES]> {
    if text.len() != SECRET_BYTES * 2 || !text.is_ascii() {
        return None;
    }
    let mut bytes = [0; SECRET_BYTES];
    for (index, byte) in bytes.iter_mut().enumerate() {
        *byte = u8::from_str_radix(&text[index * 2..index * 2 + 2], 16).ok()?;
    }
    Some(bytes)
}
