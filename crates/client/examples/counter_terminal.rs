//! A payment terminal: a payment whose outcome is unknown is verified by a read, and never sent again.

use latchhaven_client::{Client, ClientConfig, NonIdempotentOutcome, NonIdempotentRequest};

/// Attempts to send a rejected payment.
const MAX_ATTEMPTS: usize = 3;

#[tokio::main(flavor = "current_thread")]
async fn main() -> Result<(), Box<dyn std::error::Error>> {
    let gateways: Result<Vec<_>, _> = std::env::args().skip(1).map(|address| address.parse()).collect();
    let client = Client::start(ClientConfig::new(gateways?));
    let mut payment = NonIdempotentRequest {
        class: "take-payment".to_string(),
        item: "receipt-77".to_string(),
        document: vec![0x9f, 0x03],
        timeout: 4_000.0,
        priority_weight: 2.0,
    };
    for _ in 0..MAX_ATTEMPTS {
        match client.send_non_idempotent(payment).await {
            NonIdempotentOutcome::Succeeded(value) => {
                println!("paid: {} bytes", value.len());
                return Ok(());
            }
            // Not executed: the request is returned and may be sent again.
            NonIdempotentOutcome::Rejected(unsent) => payment = unsent,
            NonIdempotentOutcome::Unknown => {
                println!("unknown: check the receipt before the next payment");
                return Ok(());
            }
            NonIdempotentOutcome::InvalidName(request) => {
                return Err(format!("cannot be sent: {request:?}").into());
            }
        }
    }
    println!("not paid: the gateways are overloaded");
    Ok(())
}
