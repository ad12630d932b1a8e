//! Checks of daemons' settings files: each by itself, and the daemons of a fleet together.

use std::collections::HashMap;
use std::net::SocketAddr;

use findings::{Finding, FindingList, SourceFile};
use state::{DaemonSettings, parse_daemon_settings};

/// Checks one settings file. Returns the settings unless the file has errors.
pub(crate) fn check_settings(
    source: &SourceFile,
    list: &mut FindingList,
) -> Option<DaemonSettings> {
    match parse_daemon_settings(&source.text) {
        Ok(settings) => {
            check_addresses(source, &settings, list);
            Some(settings)
        }
        Err(faults) => {
            list.add_faults(faults);
            None
        }
    }
}

fn check_addresses(source: &SourceFile, settings: &DaemonSettings, list: &mut FindingList) {
    let addresses = [
        ("listen", settings.listen),
        ("peer_listen", settings.peer_listen),
        ("platform", settings.platform),
    ];
    for (index, (name, address)) in addresses.iter().enumerate() {
        let position = source.value.locate_field(&[name]);
        if address.port() == 0 {
            list.error(position, format!("{name:?} has port 0, which nothing can connect to"));
        }
        let same = addresses[..index].iter().find(|(_, earlier)| earlier == address);
        if let Some((earlier, _)) = same {
            list.error(position, format!("{name:?} has the same address as {earlier:?}"));
        }
    }
    if settings.platform.ip().is_unspecified() {
        let position = source.value.locate_field(&["platform"]);
        list.error(position, "\"platform\" must name the address of a host".to_owned());
    }
}

/// Settings file that was checked without errors.
pub(crate) struct CheckedSettings<'a> {
    pub(crate) source: &'a SourceFile,
    pub(crate) settings: DaemonSettings,
}

/// Checks that the daemons of a fleet differ where they must, and agree where they must.
pub(crate) fn check_fleet_settings(files: &[CheckedSettings<'_>]) -> Vec<Finding> {
    let mut findings = Vec::new();
    let mut daemons = HashMap::new();
    let mut vms = HashMap::new();
    let mut addresses: HashMap<SocketAddr, &str> = HashMap::new();
    for file in files {
        let CheckedSettings { source, settings } = file;
        let mut list = FindingList::new(&source.name);
        let at = |name: &str| source.value.locate_field(&[name]);
        if let Some(other) = daemons.insert(&settings.daemon, &*source.name) {
            let message = format!("daemon {} is also the one of {other}", settings.daemon);
            list.error(at("daemon"), message);
        }
        if let Some(other) = vms.insert(&settings.vm, &*source.name) {
            list.error(at("vm"), format!("VM {} is also the one of {other}", settings.vm));
        }
        for (name, address) in [("listen", settings.listen), ("peer_listen", settings.peer_listen)]
        {
            // Daemons on different VMs may listen on all addresses or on loopback alike.
            let is_shared = address.ip().is_unspecified() || address.ip().is_loopback();
            let other = addresses.insert(address, &source.name);
            if let Some(other) = other.filter(|other| !is_shared && **other != *source.name) {
                list.error(at(name), format!("{address} is also an address of {other}"));
            }
        }
        check_agreement(&files[0], file, &mut list);
        findings.extend(list.into_findings());
    }
    findings
}

fn check_agreement(
    first: &CheckedSettings<'_>,
    file: &CheckedSettings<'_>,
    list: &mut FindingList,
) {
    let CheckedSettings { source, settings } = file;
    if settings.platform != first.settings.platform {
        let message =
            format!("{} has the platform at {}", first.source.name, first.settings.platform);
        list.warn(source.value.locate_field(&["platform"]), message);
    }
    if settings.operator_key != first.settings.operator_key {
        let message = format!("{} has another operators' key", first.source.name);
        list.warn(source.value.locate_field(&["operator_key"]), message);
    }
}
