//! Orders that were run.

use std::collections::HashMap;
use std::sync::Mutex;

use serde::Deserialize;
use serde::Serialize;

/// How often an order was run.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OrderCount {
    /// Id of the order.
    pub order: String,
    /// Times that it was run.
    pub times: u32,
}

/// Orders that the servers of a process have run.
#[derive(Debug, Default)]
pub struct Ledger {
    orders: Mutex<HashMap<String, u32>>,
}

impl Ledger {
    /// Notes that an order is run.
    pub fn record(&self, order: &str) {
        let mut orders = self.orders.lock().expect("no holder panics");
        *orders.entry(order.to_owned()).or_default() += 1;
    }

    /// All orders.
    pub fn counts(&self) -> Vec<OrderCount> {
        let orders = self.orders.lock().expect("no holder panics");
        let counts = orders.iter().map(|(order, times)| OrderCount {
            order: order.clone(),
            times: *times,
        });
        counts.collect()
    }
}
