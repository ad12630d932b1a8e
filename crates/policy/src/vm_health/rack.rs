//! Recognises racks whose VMs have stopped answering at about the same time.

use std::collections::{BTreeMap, BTreeSet};

use state::{Millis, Moment, VmId};

/// Time within which the VMs of a rack must have stopped answering: the wait of a hold, its timeout, and
/// a retry.
const LOSS_WINDOW: Millis = Millis(2_500);
/// Number of VMs that must have stopped answering.
const MIN_LOST: usize = 2;
/// Part of a rack's VMs that must have stopped answering: one in four.
const LOST_DIVISOR: usize = 4;

/// Whether a VM answers.
#[derive(Debug, Clone, Copy, Default)]
struct Contact {
    answered_at: Option<Moment>,
    /// Time of the first order without an answer since the last answer.
    lost_at: Option<Moment>,
}

/// Change of a rack's state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RackChange {
    /// Label of the rack.
    pub rack: Box<str>,
    /// Whether the rack is dark now, so that no task is started on its VMs.
    pub is_dark: bool,
    /// Number of its VMs that do not answer.
    pub lost: usize,
    /// Number of its VMs.
    pub vms: usize,
}

/// Contact with the VMs of a pool, and the racks that are dark.
#[derive(Debug, Clone, Default)]
pub struct RackWatch {
    contacts: BTreeMap<VmId, Contact>,
    /// Dark racks, with the time at which their first VM was lost.
    dark: BTreeMap<Box<str>, Moment>,
}

impl RackWatch {
    /// Records an answer of a VM to any order.
    pub fn record_answered(&mut self, vm: &VmId, at: Moment) {
        let contact = self.contact_mut(vm);
        *contact = Contact { answered_at: Some(at), lost_at: None };
    }

    /// Records an order that was not answered, and returns whether the VM had answered the one before.
    pub fn record_unanswered(&mut self, vm: &VmId, at: Moment) -> bool {
        let contact = self.contact_mut(vm);
        let is_new = contact.lost_at.is_none();
        contact.lost_at.get_or_insert(at);
        is_new
    }

    fn contact_mut(&mut self, vm: &VmId) -> &mut Contact {
        if !self.contacts.contains_key(vm) {
            self.contacts.insert(vm.clone(), Contact::default());
        }
        self.contacts.get_mut(vm).expect("the VM was inserted")
    }

    /// Whether no task is to be started on the VMs of a rack.
    pub fn is_dark(&self, rack: &str) -> bool {
        self.dark.contains_key(rack)
    }

    /// Brings the state of all racks up to date, and returns those that have changed. VMs that are in no
    /// rack are forgotten.
    pub fn update(&mut self, racks: &BTreeMap<Box<str>, Vec<VmId>>) -> Vec<RackChange> {
        let known: BTreeSet<&VmId> = racks.values().flatten().collect();
        self.contacts.retain(|vm, _| known.contains(vm));
        let mut changes = Vec::new();
        let mut dark = BTreeMap::new();
        for (rack, vms) in racks {
            let known_since = self.dark.get(rack).copied();
            let dark_since = known_since
                .or_else(|| self.loss_of_rack(vms))
                .filter(|since| !self.has_answer_after(vms, *since));
            if dark_since.is_some() != known_since.is_some() {
                changes.push(RackChange {
                    rack: rack.clone(),
                    is_dark: dark_since.is_some(),
                    lost: self.losses(vms).count(),
                    vms: vms.len(),
                });
            }
            dark.extend(dark_since.map(|since| (rack.clone(), since)));
        }
        self.dark = dark;
        changes
    }

    fn contacts_of<'a>(&'a self, vms: &'a [VmId]) -> impl Iterator<Item = &'a Contact> {
        vms.iter().filter_map(|vm| self.contacts.get(vm))
    }

    fn losses<'a>(&'a self, vms: &'a [VmId]) -> impl Iterator<Item = Moment> {
        self.contacts_of(vms).filter_map(|contact| contact.lost_at)
    }

    fn has_answer_after(&self, vms: &[VmId], time: Moment) -> bool {
        self.contacts_of(vms).filter_map(|contact| contact.answered_at).any(|at| at > time)
    }

    /// Returns the time of the first loss if enough VMs of the rack were lost at about the same time as
    /// the newest one. A VM that was lost long before says nothing about the rack.
    fn loss_of_rack(&self, vms: &[VmId]) -> Option<Moment> {
        let newest = self.losses(vms).max()?;
        let recent: Vec<Moment> =
            self.losses(vms).filter(|at| newest - *at <= LOSS_WINDOW).collect();
        let needed = MIN_LOST.max(vms.len().div_ceil(LOST_DIVISOR));
        let first = recent.iter().min().copied();
        first.filter(|_| recent.len() >= needed)
    }
}
