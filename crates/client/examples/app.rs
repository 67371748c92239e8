//! An application that reads items. The arguments are the addresses of the gateways:
//! `cargo run -p latchhaven-client --example app -- 127.0.0.1:15432`.

use latchhaven_client::{Client, ClientConfig, IdempotentRequest};

#[tokio::main(flavor = "current_thread")]
async fn main() -> Result<(), Box<dyn std::error::Error>> {
    let gateways: Result<Vec<_>, _> = std::env::args().skip(1).map(|address| address.parse()).collect();
    let client = Client::start(ClientConfig::new(gateways?));
    for item in ["7f3a", "7f3b", "7f3c"] {
        let request = IdempotentRequest {
            class: "look-up".to_string(),
            item: item.to_string(),
            timeout: 1_500.0,
            priority_weight: 1.0,
        };
        match client.send_idempotent(&request).await {
            Ok(value) => println!("{item}: {} bytes", value.len()),
            Err(error) => println!("{item}: {error}"),
        }
    }
    Ok(())
}
