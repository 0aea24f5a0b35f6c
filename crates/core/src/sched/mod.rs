//! Order, fairness, placement and admission for one pool of upstreams.

mod request;

pub use request::{Outcome, SlotGrant, SlotRelease, SlotRequest, Ticket};
