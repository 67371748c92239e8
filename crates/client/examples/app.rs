//! An app that looks things up: `cargo run -p latchhaven-client --example app -- 127.0.0.1:15432`.

use latchhaven_client::{Client, InquiryLike, Terms};

#[tokio::main(flavor = "current_thread")]
async fn main() -> Result<(), Box<dyn std::error::Error>> {
    let gateways: Result<Vec<_>, _> = std::env::args().skip(1).map(|addr| addr.parse()).collect();
    let client = Client::start(Terms::new(gateways?));
    for item in ["7f3a", "7f3b", "7f3c"] {
        let (product, item) = ("look-up".to_string(), item.to_string());
        let call = InquiryLike { product, item, expiry: 1_500.0, revenue: 1.0 };
        match client.inquire(&call).await {
            Ok(value) => println!("{}: {} bytes", call.item, value.len()),
            Err(failure) => println!("{}: {failure}", call.item),
        }
    }
    Ok(())
}
