//! Reads a whole configuration, as a daemon answers it.

use findings::{FindingList, SourceFile};
use state::verify::find_config_faults;
use state::{ConfigDoc, LocatedDecode, PathStep, decode_located, describe_path};

/// Reads a whole configuration: the document itself, or a daemon's answer with it.
pub(crate) fn read_config(source: &SourceFile, list: &mut FindingList) -> Option<ConfigDoc> {
    let value = source.value.field("config").unwrap_or(&source.value);
    let json = value.to_json().map_err(|fault| list.add_faults(vec![fault])).ok()?;
    let LocatedDecode { result, error_path, .. } = decode_located::<ConfigDoc, _>(&json);
    match result {
        Ok(config) => {
            for fault in find_config_faults(&config) {
                list.error(value.position(), fault.to_string());
            }
            Some(config)
        }
        Err(error) => {
            let position = value.locate(&error_path);
            let place = describe_path(&error_path);
            // The value in the error of a key's record may be a secret that was put there.
            let is_key = error_path.first() == Some(&PathStep::Field("keys".into()));
            let message = match place.as_str() {
                "" => format!("the configuration: {error}"),
                _ if is_key => format!("{place}: not the record of a key"),
                _ => format!("{place}: {error}"),
            };
            list.error(position, message);
            None
        }
    }
}
