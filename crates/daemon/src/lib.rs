//! The daemon that runs on each entry VM.
//!
//! Its modules are adapters: each one turns messages, settings or system calls into calls of
//! `jackdawpin-core`, and results into messages. Decisions are made in `jackdawpin-core` only.

pub mod listen;
