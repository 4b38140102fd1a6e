//! The gateway as a process, between stand-ins of the users' platform.

mod calls;
mod common;
mod intent;
mod lifecycle;
mod streams;
