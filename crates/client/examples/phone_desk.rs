//! A phone desk that places many orders concurrently, each with an idempotency key. The arguments are the addresses of
//! the gateways.

use latchhaven_client::{AttemptCounts, Client, ClientConfig, KeyedRequest};

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
        tasks.push(tokio::spawn(async move { (request.item.clone(), client.send_keyed(&request).await) }));
    }
    for task in tasks {
        let (item, result) = task.await?;
        match result {
            Ok(_) => println!("{item}: placed"),
            Err(error) => println!("{item}: {error}"),
        }
    }
    let AttemptCounts { written, retries } = client.attempt_counts();
    println!("{written} attempts, {retries} of them retries");
    Ok(())
}
