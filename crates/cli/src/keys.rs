//! Gives and withdraws keys. A key's text exists only here and with its
//! holder: the daemons get a salted hash.

use eyre::{Result, eyre};
use state::{ConfigEdit, KeyId, KeyRecord, KeyText, OperatorKey, TeamId};

use crate::Ending;
use crate::arguments::KeyAction;
use crate::client::Client;
use crate::operate::change;

const SALT_BYTES: usize = 8;

pub(crate) fn run(client: &Client, action: &KeyAction) -> Result<Ending> {
    match action {
        KeyAction::Give { team, key } => give(client, team, key),
        KeyAction::Withdraw { key } => {
            change(client, vec![ConfigEdit::WithdrawKey { key: key.clone() }], None)
        }
        KeyAction::Hash => hash(),
    }
}

fn give(client: &Client, team: &TeamId, key: &KeyId) -> Result<Ending> {
    let text = new_key(key.clone())?;
    let record = KeyRecord::from_key_text(&text, team.clone(), &new_salt()?);
    let ending = change(client, vec![ConfigEdit::GiveKey { key: key.clone(), record }], None)?;
    if matches!(ending, Ending::Done | Ending::Unknown) {
        println!("{}", text.to_plain_text());
    }
    Ok(ending)
}

fn hash() -> Result<Ending> {
    let text = new_key("operators".parse()?)?;
    println!("{}", text.to_plain_text());
    println!("{}", OperatorKey::from_key_text(&text, &new_salt()?));
    Ok(Ending::Done)
}

fn new_key(key: KeyId) -> Result<KeyText> {
    let mut secret = [0; 32];
    getrandom::fill(&mut secret).map_err(|error| eyre!("no random numbers: {error}"))?;
    Ok(KeyText::new(key, secret))
}

fn new_salt() -> Result<String> {
    let mut salt = [0; SALT_BYTES];
    getrandom::fill(&mut salt).map_err(|error| eyre!("no random numbers: {error}"))?;
    Ok(salt.iter().map(|byte| format!("{byte:02x}")).collect())
}
