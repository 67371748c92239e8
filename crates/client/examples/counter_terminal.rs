//! A payment terminal: a rejected payment is sent again; one whose outcome is unknown is never sent again, its receipt
//! must be checked. The arguments are the addresses of the gateways.

use latchhaven_client::{Client, ClientConfig, NonIdempotentOutcome, NonIdempotentRequest};

/// The number of calls for a payment that is rejected each time; the library makes the retries of each call.
const MAX_CALLS: usize = 3;

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
    for _ in 0..MAX_CALLS {
        match client.send_non_idempotent(payment).await {
            NonIdempotentOutcome::Succeeded(value) => {
                println!("paid: {} bytes", value.len());
                return Ok(());
            }
            // The payment was not executed: the request is returned and may be sent again.
            NonIdempotentOutcome::Rejected(rejected) => payment = rejected,
            NonIdempotentOutcome::Unknown => {
                println!("outcome unknown: check the receipt before the next payment");
                return Ok(());
            }
            NonIdempotentOutcome::InvalidName(request) => {
                return Err(format!("invalid name in the request: {request:?}").into());
            }
        }
    }
    println!("not paid: rejected {MAX_CALLS} times");
    Ok(())
}
