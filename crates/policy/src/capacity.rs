//! Decides how many VMs a pool requests and how many it gives back.
