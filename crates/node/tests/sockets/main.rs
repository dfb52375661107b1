//! Starts the program and speaks to it over sockets.
mod abandoned;
mod calls;
mod clients;
mod common;
mod config;
mod crashes;
mod crossings;
mod discovery;
mod ending;
mod held_back;
mod large;
mod operating;
mod remaining;
mod stall;
mod standins;
mod syscalls;
mod watches;
