//! Commands that create and withdraw keys.
//!
//! A new key's text is printed once and not stored; daemons receive only a salted hash.

use eyre::{Result, eyre};
use state::{ConfigEdit, KeyId, KeyRecord, KeyText, OperatorKey, TeamId};

use crate::CommandOutcome;
use crate::arguments::KeyAction;
use crate::client::Client;
use crate::operator::submit_change;

const SALT_BYTES: usize = 8;

pub(crate) fn run(client: &Client, action: &KeyAction) -> Result<CommandOutcome> {
    match action {
        KeyAction::Give { team, key } => give_key(client, team, key),
        KeyAction::Withdraw { key } => {
            submit_change(client, vec![ConfigEdit::WithdrawKey { key: key.clone() }], None)
        }
        KeyAction::Hash => create_operator_key(),
    }
}

fn give_key(client: &Client, team: &TeamId, key: &KeyId) -> Result<CommandOutcome> {
    let text = generate_key_text(key.clone())?;
    let record = KeyRecord::from_key_text(&text, team.clone(), &generate_salt()?);
    let outcome =
        submit_change(client, vec![ConfigEdit::GiveKey { key: key.clone(), record }], None)?;
    if matches!(outcome, CommandOutcome::Done | CommandOutcome::Unknown) {
        println!("{}", text.to_plain_text());
    }
    Ok(outcome)
}

/// Prints a new operators' key, and its salted hash for the daemons' settings.
fn create_operator_key() -> Result<CommandOutcome> {
    let text = generate_key_text("operators".parse()?)?;
    println!("{}", text.to_plain_text());
    println!("{}", OperatorKey::from_key_text(&text, &generate_salt()?));
    Ok(CommandOutcome::Done)
}

fn generate_key_text(key: KeyId) -> Result<KeyText> {
    let mut secret = [0; 32];
    getrandom::fill(&mut secret)
        .map_err(|error| eyre!("cannot get random numbers from the system: {error}"))?;
    Ok(KeyText::new(key, secret))
}

fn generate_salt() -> Result<String> {
    let mut salt = [0; SALT_BYTES];
    getrandom::fill(&mut salt)
        .map_err(|error| eyre!("cannot get random numbers from the system: {error}"))?;
    Ok(salt.iter().map(|byte| format!("{byte:02x}")).collect())
}
