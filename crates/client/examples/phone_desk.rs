//! A phone desk that places orders: many concurrently, each with the key by which endpoints drop duplicates.

use latchhaven_client::{AttemptCounts, Client, ClientConfig, KeyedRequest};

/// Requests that are in flight concurrently.
const CONCURRENT_REQUESTS: u8 = 20;

fn order(number: u8) -> KeyedRequest {
    KeyedRequest {
        class: "place-order".to_string(),
        item: format!("order-{number}"),
        document: vec![number],
        key: format!("terminal-4-{number}"),
        dedup_window: 10_000.0,
        timeout: 3_000.0,
        priority_weight: 3.0,
    }
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> Result<(), Box<dyn std::error::Error>> {
    let gateways: Result<Vec<_>, _> = std::env::args().skip(1).map(|address| address.parse()).collect();
    let client = Client::start(ClientConfig::new(gateways?));
    let mut tasks = Vec::new();
    for number in 0..CONCURRENT_REQUESTS {
        let client = client.clone();
        let request = order(number);
        tasks.push(tokio::spawn(async move { (client.send_keyed(&request).await, request) }));
    }
    for task in tasks {
        let (result, request) = task.await?;
        match result {
            Ok(_) => println!("{}: placed", request.item),
            Err(error) => println!("{}: {error}", request.item),
        }
    }
    let AttemptCounts { written, retries } = client.attempt_counts();
    println!("{written} attempts, {retries} of them retries");
    Ok(())
}
