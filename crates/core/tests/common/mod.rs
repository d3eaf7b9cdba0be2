//! Helpers shared by tests of decisions.

#![allow(dead_code)]

pub mod fleet;
