//! Which of two lists is the newer one. Versions alone do not tell: discovery may begin its count anew, and
//! then the lower one is newer; and a call made before another one told may bring what was true before that.

/// How a list stands to the one held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Order {
    /// It is taken over.
    Newer,
    /// Another call has told something newer meanwhile.
    Older,
    /// Changes to a list that was never held.
    Gapped,
}

/// How a list of version `told` stands to the one of version `held`; `crossed`: another call has told
/// something since this one was made, or since it last told.
pub fn order(held: u64, told: u64, whole: bool, crossed: bool) -> Order {
    match told >= held {
        true => Order::Newer,
        false if crossed => Order::Older,
        false if whole => Order::Newer,
        false => Order::Gapped,
    }
}
