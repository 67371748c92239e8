//! A phone desk that places orders: many at once, each with the key by which hosts drop repeats.

use latchhaven_client::{Client, Referenced, Terms};

#[tokio::main(flavor = "current_thread")]
async fn main() -> Result<(), Box<dyn std::error::Error>> {
    let gateways: Result<Vec<_>, _> = std::env::args().skip(1).map(|addr| addr.parse()).collect();
    let client = Client::start(Terms::new(gateways?));
    let orders = (0..20).map(|n| {
        let client = client.clone();
        tokio::spawn(async move {
            let (product, item, doc) = ("place-order".to_string(), format!("order-{n}"), vec![n as u8]);
            let key = format!("desk-4-{n}");
            let order =
                Referenced { product, item, doc, key, remember: 10_000.0, expiry: 3_000.0, revenue: 3.0 };
            (order.item.clone(), client.refer(&order).await)
        })
    });
    for order in orders.collect::<Vec<_>>() {
        let (item, placed) = order.await?;
        println!("{item}: {}", placed.map_or_else(|failure| failure.to_string(), |_| "placed".to_string()));
    }
    let (written, repeated) = client.tries();
    println!("{written} tries, {repeated} of them repeats");
    Ok(())
}
