//! A counter terminal that takes a payment: what is unknown is looked up, never asked again.

use latchhaven_client::{Client, Once, OnceOnly, Terms};

#[tokio::main(flavor = "current_thread")]
async fn main() -> Result<(), Box<dyn std::error::Error>> {
    let gateways: Result<Vec<_>, _> = std::env::args().skip(1).map(|addr| addr.parse()).collect();
    let client = Client::start(Terms::new(gateways?));
    let (product, item, doc) = ("take-payment".to_string(), "receipt-77".to_string(), vec![0x9f, 0x03]);
    let mut payment = OnceOnly { product, item, doc, expiry: 4_000.0, revenue: 2.0 };
    for _ in 0..3 {
        match client.once(payment).await {
            Once::Settled(value) => {
                println!("paid: {} bytes", value.len());
                return Ok(());
            }
            // It never ran, and is given back: the customer may be asked whether to go on.
            Once::Declined(again) => payment = again,
            Once::Unknown => {
                println!("unknown: look the receipt up before anything is done again");
                return Ok(());
            }
            Once::Unfit(call) => return Err(format!("cannot be sent: {call:?}").into()),
        }
    }
    println!("not taken: the gateways are busy");
    Ok(())
}
