//! The control service as a process, on loopback: what bad peers cost, who may connect, what a death costs.

// A test fails where it unwraps.
#![allow(clippy::unwrap_used)]

use bytes::Bytes;
use latchhaven_test_support::fake_load_reports::send_load_reports;
use latchhaven_test_support::fake_platform::{FakePlatform, control_config};
use latchhaven_test_support::fake_proxy::{FakeProxy, ProxyBehavior, connect};
use latchhaven_test_support::platform_messages::{host, rollout_state};
use latchhaven_test_support::process::Process;
use latchhaven_test_support::process::program;
use latchhaven_test_support::resource_cache::ResourceCache;
use latchhaven_test_support::wait::wait_until;
use latchhaven_xds::codec::ChunkCodec;
use latchhaven_xds::pb::envoy::config::core::v3::Node;
use latchhaven_xds::pb::envoy::config::endpoint::v3::ClusterStats;
use latchhaven_xds::pb::envoy::service::discovery::v3::{DiscoveryRequest, DiscoveryResponse};
use latchhaven_xds::pb::envoy::service::load_stats::v3::LoadStatsRequest;
use latchhaven_xds::pb::google::protobuf::Duration as Span;
use latchhaven_xds::resources::ResourceType;
use prost::Message;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;
use tokio::runtime::Runtime;
use tokio::sync::{mpsc, watch};
use tokio::time::timeout;
use tokio_stream::wrappers::ReceiverStream;
use tonic::client::Grpc;
use tonic::codegen::http::uri::PathAndQuery;
use tonic::{Code, Status};

const ANY: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);
const ADS: &str = "/envoy.service.discovery.v3.AggregatedDiscoveryService/StreamAggregatedResources";

/// A service on a site of three hosts; its folder is removed with it.
struct Scene {
    site: FakePlatform,
    control: Process,
    folder: PathBuf,
    runtime: Runtime,
}

impl Scene {
    fn start(name: &str, more: impl Fn(&str) -> String, change: impl Fn(String) -> String) -> Self {
        let folder = std::env::temp_dir().join(format!("latchhaven-control-{}-{name}", std::process::id()));
        let _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(&folder).unwrap();
        let hosts =
            (0..3).map(|n| host(&format!("s{n}"), SocketAddr::from(([127, 0, 0, 9], 5000 + n)), "up", 1));
        let site = FakePlatform::start(5, hosts.collect(), rollout_state(1, 0, "COMPLETE", 1.0));
        let more = more(&folder.display().to_string());
        let text = change(control_config(name, site.discovery.addr, site.feed.addr, ANY, false, &more));
        std::fs::write(folder.join("control.star"), text).unwrap();
        let control = Process::start_control(&folder.join("control.star"));
        let runtime =
            tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build().unwrap();
        Scene { site, control, folder, runtime }
    }

    fn plain(name: &str) -> Self {
        Scene::start(name, |_| String::new(), |text| text)
    }

    /// A sound proxy, which must go on being served.
    fn proxy(&self, number: usize) -> (FakeProxy, watch::Sender<ProxyBehavior>) {
        let orders = ProxyBehavior { service: Some(self.control.addr), ..ProxyBehavior::default() };
        let (orders, ordered) = watch::channel(orders);
        let proxy = FakeProxy::new(number, number % 2 == 1);
        self.runtime.spawn(proxy.clone().run(ordered, 1, Arc::new(|_, _, _| ())));
        (proxy, orders)
    }

    /// The proxy hears of a change that is made now. What it holds tells, not a version: one that came back
    /// holding just what is handed out is rightly sent nothing. One of the two states it does not hold yet.
    fn serves(&self, proxy: &FakeProxy) {
        let addr = SocketAddr::from(([127, 0, 0, 9], 5000));
        for health in ["draining", "up"] {
            self.site.update_hosts(&[host("s0", addr, health, 1)]);
            wait_until("the proxy hears of a change", || {
                let held = |cache: &ResourceCache| {
                    cache.cluster_endpoints("b1/pay").endpoints.into_iter().find(|host| host.addr == addr)
                };
                holds(proxy, |cache| held(cache).is_some_and(|host| host.is_healthy == (health == "up")))
            });
        }
    }

    /// Sends these requests on one stream; the status that ends it, or none within a while.
    fn ends(&self, path: &'static str, requests: Vec<Bytes>) -> Option<Status> {
        let addr = self.control.addr;
        self.runtime.block_on(async move {
            let mut grpc = Grpc::new(connect(addr).await.unwrap());
            grpc.ready().await.unwrap();
            let (asks, asked) = mpsc::channel(requests.len().max(1));
            for request in requests {
                asks.send(vec![request]).await.unwrap();
            }
            let stream = tonic::Request::new(ReceiverStream::new(asked));
            let codec = ChunkCodec::<DiscoveryResponse>::default();
            let ended = async {
                let mut answers = match grpc.streaming(stream, PathAndQuery::from_static(path), codec).await {
                    Ok(answers) => answers.into_inner(),
                    Err(status) => return status,
                };
                loop {
                    match answers.message().await {
                        Ok(Some(_)) => {}
                        Ok(None) => return Status::ok("it ended"),
                        Err(status) => return status,
                    }
                }
            };
            timeout(Duration::from_secs(3), ended).await.ok().inspect(|_| drop(asks))
        })
    }
}

impl Drop for Scene {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn holds(proxy: &FakeProxy, what: impl Fn(&ResourceCache) -> bool) -> bool {
    what(&proxy.cache())
}

fn ask(node: &str, kind: &str, names: usize) -> DiscoveryRequest {
    DiscoveryRequest {
        node: Some(Node { id: node.to_string(), ..Node::default() }),
        type_url: kind.to_string(),
        resource_names: (0..names).map(|n| format!("b{n}")).collect(),
        ..DiscoveryRequest::default()
    }
}

fn bytes(request: &impl Message) -> Bytes {
    Bytes::from(request.encode_to_vec())
}

#[test]
fn what_cannot_be_gets_a_clear_status_and_costs_nobody_else() {
    let scene = Scene::plain("bad-input");
    let (proxy, _orders) = scene.proxy(0);
    scene.serves(&proxy);
    let cluster = ResourceType::Cluster.url();
    let unknown_nonce = DiscoveryRequest { response_nonce: "999".to_string(), ..ask("a", cluster, 0) };
    let cases: Vec<(&str, &'static str, Vec<Bytes>, Code, &str)> = vec![
        (
            "an unknown type",
            ADS,
            vec![bytes(&ask("a", "type.googleapis.com/x.Y", 0))],
            Code::InvalidArgument,
            "x.Y",
        ),
        (
            "10,000 names",
            ADS,
            vec![bytes(&ask("a", ResourceType::Endpoint.url(), 10_000))],
            Code::ResourceExhausted,
            "names",
        ),
        (
            "a node id of a megabyte",
            ADS,
            vec![bytes(&ask(&"n".repeat(1 << 20), cluster, 0))],
            Code::ResourceExhausted,
            "node.id",
        ),
        ("no node", ADS, vec![bytes(&ask("", cluster, 0))], Code::InvalidArgument, "node.id"),
        ("more than may be read", ADS, vec![Bytes::from(vec![b'x'; 5 << 20])], Code::OutOfRange, "too large"),
        (
            "no message",
            ADS,
            vec![Bytes::from_static(b"\xff\xff\xff\xff")],
            Code::InvalidArgument,
            "cannot be read",
        ),
        ("nonces never given", ADS, vec![bytes(&unknown_nonce); 20], Code::InvalidArgument, "response_nonce"),
        (
            "an unknown service",
            "/envoy.service.secret.v3.SecretDiscoveryService/StreamSecrets",
            vec![bytes(&ask("a", cluster, 0))],
            Code::Unimplemented,
            "Secret",
        ),
        (
            "another type on a single stream",
            "/envoy.service.cluster.v3.ClusterDiscoveryService/StreamClusters",
            vec![bytes(&ask("a", ResourceType::Route.url(), 0))],
            Code::InvalidArgument,
            "type_url",
        ),
    ];
    for (what, path, requests, code, words) in cases {
        let status = scene.ends(path, requests).unwrap_or_else(|| panic!("{what}: the stream goes on"));
        assert_eq!((status.code(), status.message().contains(words)), (code, true), "{what}: {status:?}");
        scene.serves(&proxy);
    }
    assert!(holds(&proxy, |cache| cache.regressions + cache.dangling == 0));
}

#[test]
fn load_reports_that_cannot_be_end_their_stream_with_what_is_wrong() {
    let scene = Scene::plain("bad-loads");
    let (proxy, _orders) = scene.proxy(1);
    scene.serves(&proxy);
    let stats = |cluster: &str, span| ClusterStats {
        cluster_name: cluster.to_string(),
        load_report_interval: span,
        ..ClusterStats::default()
    };
    let second = Some(Span { seconds: 1, nanos: 0 });
    let twice = vec![stats("b1/look", second), stats("b1/look", second)];
    let cases = [
        (vec![stats("b1/look", None)], "load_report_interval"),
        (vec![stats("b1/look", Some(Span { seconds: -1, nanos: 0 }))], "load_report_interval"),
        (vec![stats("b1/unknown", second)], "cluster_name"),
        (vec![stats("other", second)], "cluster_name"),
        (twice, "twice"),
    ];
    for (cluster_stats, words) in cases {
        let node = Some(Node { id: "liar".to_string(), ..Node::default() });
        let first = LoadStatsRequest { node: node.clone(), cluster_stats: Vec::new() };
        let (sends, sent) = mpsc::channel(2);
        let status = scene.runtime.block_on(async {
            sends.send(first).await.unwrap();
            sends.send(LoadStatsRequest { node, cluster_stats }).await.unwrap();
            timeout(Duration::from_secs(10), send_load_reports(scene.control.addr, sent))
                .await
                .expect("it ends")
        });
        let status = status.expect_err(words);
        assert!(status.code() == Code::InvalidArgument && status.message().contains(words), "{status:?}");
        scene.serves(&proxy);
    }
}

#[test]
fn streams_that_open_and_close_in_a_loop_starve_nobody() {
    let scene = Scene::plain("loop");
    let (served, _orders) = scene.proxy(0);
    scene.serves(&served);
    for _ in 0..60 {
        let status = scene.ends(ADS, vec![bytes(&ask("loop", "type.googleapis.com/x.Y", 0))]);
        assert_eq!(status.map(|status| status.code()), Some(Code::InvalidArgument));
    }
    scene.serves(&served);
    let (late, _late_orders) = scene.proxy(1);
    wait_until("one that comes now begins", || holds(&late, |cache| cache.route("pay", false).is_some()));
}

#[test]
fn who_is_not_allowed_is_not_heard() {
    let scene = Scene::start(
        "networks",
        |_| String::new(),
        |text| {
            text.replace(
                "\"listener\":",
                "\"allowed_networks\": [\"127.1.0.0/16\", \"10.0.0.0/8\"],\n        \"listener\":",
            )
        },
    );
    let dialled = scene.runtime.block_on(async {
        let Ok(channel) = connect(scene.control.addr).await else { return false };
        let mut grpc = Grpc::new(channel);
        if grpc.ready().await.is_err() {
            return false;
        }
        let (asks, asked) = mpsc::channel(1);
        asks.send(vec![bytes(&ask("a", ResourceType::Cluster.url(), 0))]).await.unwrap();
        let codec = ChunkCodec::<DiscoveryResponse>::default();
        let stream = tonic::Request::new(ReceiverStream::new(asked));
        grpc.streaming(stream, PathAndQuery::from_static(ADS), codec).await.is_ok()
    });
    assert!(!dialled);
}

#[test]
fn proxies_keep_what_they_have_while_the_service_is_dead_and_its_return_empties_nothing() {
    let more = |folder: &str| format!("\"state\": \"{folder}/state.redb\",");
    let mut scene = Scene::start("death", more, |text| text);
    let (proxies, orders): (Vec<FakeProxy>, Vec<_>) = (0..4).map(|n| scene.proxy(n)).unzip();
    proxies.iter().for_each(|proxy| scene.serves(proxy));
    let whole = |proxy: &FakeProxy| {
        holds(proxy, |cache| {
            cache.version_share("pay", 1) == 1_000_000
                && cache.cluster_endpoints("b1/pay").endpoints.len() == 3
        })
    };
    assert!(proxies.iter().all(whole));
    for _ in 0..3 {
        wait_until("the state is on disk", || !scene.control.logged("state: written").is_empty());
        scene.control.kill();
        assert!(proxies.iter().all(whole), "a death empties nothing");
        scene.control = Process::start_control(&scene.folder.join("control.star"));
        assert_eq!(scene.control.logged("found=true").len(), 1, "what was handed out is found again");
        let addr = scene.control.addr;
        orders.iter().for_each(|orders| orders.send_modify(|order| order.service = Some(addr)));
        proxies.iter().for_each(|proxy| scene.serves(proxy));
        assert!(proxies.iter().all(whole));
    }
    assert!(proxies.iter().all(|proxy| holds(proxy, |cache| cache.regressions + cache.dangling == 0)));
}

#[test]
fn check_names_file_line_and_key_of_each_fault() {
    let folder = std::env::temp_dir().join(format!("latchhaven-check-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let file = folder.join("control.star");
    let good = control_config("a", ANY, ANY, ANY, false, "");
    let endless = format!(
        "def f():\n    for a in range(100000):\n        for b in range(100000):\n            pass\nf()\n{good}"
    );
    let cases = [
        (good.clone(), 0, "fit"),
        (good.replace("\"listener\"", "\"listner\""), 1, "control.xds.listner"),
        (
            good.replace("\"in_flight_per_host\": 64", "\"in_flight_per_host\": 0"),
            1,
            "control.xds.in_flight_per_host",
        ),
        (
            good.replace("\"127.0.0.1:0\",\n        \"listener\"", "\"10.1.2.3:0\",\n        \"listener\""),
            1,
            "control.xds.listen",
        ),
        (good.replace("\"aim-s\": 0.6", "\"aim-s\": 0.0"), 1, "aim-s"),
        (good.replace("control = ", "contrl = "), 1, "control: not set"),
        ("load(\"../other.star\", \"a\")\n".to_string() + &good, 1, "only files in the same folder"),
        ("load(\"control.star\", \"control\")\n".to_string(), 1, "circle"),
        (endless, 1, "control.star"),
        ("x = [0]\ndef g():\n    return g()\ng()\n".to_string() + &good, 1, "control.star:"),
        ("control = {".to_string(), 1, "control.star:1"),
    ];
    for (text, code, words) in cases {
        std::fs::write(&file, &text).unwrap();
        let ran = std::process::Command::new(program()).arg("check").arg(&file).output().unwrap();
        let said = String::from_utf8_lossy(&ran.stdout).to_string();
        assert_eq!((ran.status.code(), said.contains(words)), (Some(code), true), "{words}: {said}");
    }
    std::fs::write(&file, good.replace("\"listener\"", "\"listner\"")).unwrap();
    let ran = std::process::Command::new(program()).arg("check").arg(&file).output().unwrap();
    let line = good.lines().position(|line| line.contains("\"listener\"")).unwrap() + 1;
    assert!(String::from_utf8_lossy(&ran.stdout).contains(&format!("control.star:{line}: ")));
    std::fs::remove_dir_all(folder).unwrap();
}
