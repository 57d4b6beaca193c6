//! Counts of executed orders.

use std::collections::HashMap;
use std::sync::Mutex;

use serde::Deserialize;
use serde::Serialize;

/// How often an order was executed.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OrderCount {
    /// Id of the order.
    pub order: String,
    /// Number of executions.
    pub times: u32,
}

/// Orders that the servers of a process have executed, to detect lost and duplicate ones.
#[derive(Debug, Default)]
pub struct Ledger {
    orders: Mutex<HashMap<String, u32>>,
}

impl Ledger {
    /// Counts an execution of an order.
    pub fn record(&self, order: &str) {
        let mut orders = self.orders.lock().expect("lock is not poisoned");
        *orders.entry(order.to_owned()).or_default() += 1;
    }

    /// Returns the counts of all orders.
    pub fn counts(&self) -> Vec<OrderCount> {
        let orders = self.orders.lock().expect("lock is not poisoned");
        let counts = orders.iter().map(|(order, times)| OrderCount {
            order: order.clone(),
            times: *times,
        });
        counts.collect()
    }
}
