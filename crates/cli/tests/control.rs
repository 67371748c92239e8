//! The control service as a process on loopback: malformed input, disallowed peers and restarts; and `check`.

#![allow(clippy::unwrap_used, reason = "a test fails where it unwraps")]

use bytes::Bytes;
use latchhaven_test_support::fake_load_reports::send_load_reports;
use latchhaven_test_support::fake_platform::{FakePlatform, control_config};
use latchhaven_test_support::fake_proxy::{FakeProxy, ProxyBehavior, connect};
use latchhaven_test_support::platform_messages::{host, rollout_state};
use latchhaven_test_support::process::{Process, program};
use latchhaven_test_support::resource_cache::ResourceCache;
use latchhaven_test_support::wait::wait_until;
use latchhaven_xds::codec::ChunkCodec;
use latchhaven_xds::pb::envoy::config::core::v3::Node;
use latchhaven_xds::pb::envoy::config::endpoint::v3::ClusterStats;
use latchhaven_xds::pb::envoy::service::discovery::v3::{DiscoveryRequest, DiscoveryResponse};
use latchhaven_xds::pb::envoy::service::load_stats::v3::LoadStatsRequest;
use latchhaven_xds::pb::google::protobuf::Duration as ProtoDuration;
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

/// Loopback, with a port that the kernel chooses.
const ANY_PORT: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);
/// The method of aggregated streams.
const ADS_PATH: &str = "/envoy.service.discovery.v3.AggregatedDiscoveryService/StreamAggregatedResources";
/// How long a stream may stay open after its requests were sent.
const STREAM_TIMEOUT: Duration = Duration::from_secs(3);

/// A control service, and a fake platform and discovery service with three endpoints. Removes its files when dropped.
struct ControlPlaneFixture {
    platform: FakePlatform,
    control: Process,
    folder: PathBuf,
    runtime: Runtime,
}

impl ControlPlaneFixture {
    /// `extra_config`: further settings, by the folder of the script. `change`: edits the script.
    fn start(name: &str, extra_config: impl Fn(&str) -> String, change: impl Fn(String) -> String) -> Self {
        let folder = std::env::temp_dir().join(format!("latchhaven-control-{}-{name}", std::process::id()));
        let _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(&folder).unwrap();
        let hosts =
            (0..3).map(|n| host(&format!("s{n}"), SocketAddr::from(([127, 0, 0, 9], 5000 + n)), "up", 1));
        let platform = FakePlatform::start(5, hosts.collect(), rollout_state(1, 0, "COMPLETE", 1.0));
        let extra_config = extra_config(&folder.display().to_string());
        let text = change(control_config(
            name,
            platform.discovery.addr,
            platform.feed.addr,
            ANY_PORT,
            false,
            &extra_config,
        ));
        std::fs::write(folder.join("control.star"), text).unwrap();
        let control = Process::start_control(&folder.join("control.star"));
        let runtime =
            tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build().unwrap();
        ControlPlaneFixture { platform, control, folder, runtime }
    }

    fn new(name: &str) -> Self {
        ControlPlaneFixture::start(name, |_| String::new(), |text| text)
    }

    /// Starts a proxy that follows the protocol: it has to be served whatever others do.
    fn start_proxy(&self, number: usize) -> (FakeProxy, watch::Sender<ProxyBehavior>) {
        let behavior = ProxyBehavior { service: Some(self.control.addr), ..ProxyBehavior::default() };
        let (behavior, behavior_receiver) = watch::channel(behavior);
        let proxy = FakeProxy::new(number, number % 2 == 1);
        self.runtime.spawn(proxy.clone().run(behavior_receiver, 1, Arc::new(|_, _, _| ())));
        (proxy, behavior)
    }

    /// Checks that the proxy receives changes that are made now; one of the two states differs from the cached one.
    /// Reads its cache instead of counting responses: a proxy that reconnects with current resources receives none.
    fn assert_served(&self, proxy: &FakeProxy) {
        let addr = SocketAddr::from(([127, 0, 0, 9], 5000));
        for health in ["draining", "up"] {
            self.platform.update_hosts(&[host("s0", addr, health, 1)]);
            wait_until("the proxy receives a change", || {
                let endpoint = |cache: &ResourceCache| {
                    cache.cluster_endpoints("b1/pay").endpoints.into_iter().find(|host| host.addr == addr)
                };
                cache_matches(proxy, |cache| {
                    endpoint(cache).is_some_and(|host| host.is_healthy == (health == "up"))
                })
            });
        }
    }

    /// Sends requests on one stream. Returns the status with which the service closes it; `None` if it is still open
    /// after [`STREAM_TIMEOUT`].
    fn stream_status(&self, path: &'static str, requests: Vec<Bytes>) -> Option<Status> {
        let addr = self.control.addr;
        self.runtime.block_on(async move {
            let mut grpc = Grpc::new(connect(addr).await.unwrap());
            grpc.ready().await.unwrap();
            let (request_sender, request_receiver) = mpsc::channel(requests.len().max(1));
            for request in requests {
                request_sender.send(vec![request]).await.unwrap();
            }
            let stream = tonic::Request::new(ReceiverStream::new(request_receiver));
            let codec = ChunkCodec::<DiscoveryResponse>::default();
            let final_status = async {
                let mut responses = match grpc.streaming(stream, PathAndQuery::from_static(path), codec).await
                {
                    Ok(responses) => responses.into_inner(),
                    Err(status) => return status,
                };
                loop {
                    match responses.message().await {
                        Ok(Some(_)) => {}
                        Ok(None) => return Status::ok("the service closed the stream"),
                        Err(status) => return status,
                    }
                }
            };
            timeout(STREAM_TIMEOUT, final_status).await.ok().inspect(|_| drop(request_sender))
        })
    }
}

impl Drop for ControlPlaneFixture {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn cache_matches(proxy: &FakeProxy, condition: impl Fn(&ResourceCache) -> bool) -> bool {
    condition(&proxy.cache())
}

fn discovery_request(node: &str, type_url: &str, names: usize) -> DiscoveryRequest {
    DiscoveryRequest {
        node: Some(Node { id: node.to_string(), ..Node::default() }),
        type_url: type_url.to_string(),
        resource_names: (0..names).map(|n| format!("b{n}")).collect(),
        ..DiscoveryRequest::default()
    }
}

fn encode(request: &impl Message) -> Bytes {
    Bytes::from(request.encode_to_vec())
}

/// Requests on one stream, and the status with which the service has to close it.
struct MalformedRequests {
    description: &'static str,
    path: &'static str,
    requests: Vec<Bytes>,
    code: Code,
    expected_text: &'static str,
}

impl MalformedRequests {
    /// Requests on an aggregated stream; [`Self::on`] sets another method.
    fn new(description: &'static str, requests: Vec<Bytes>, code: Code, expected_text: &'static str) -> Self {
        MalformedRequests { description, path: ADS_PATH, requests, code, expected_text }
    }

    fn on(self, path: &'static str) -> Self {
        MalformedRequests { path, ..self }
    }
}

fn malformed_requests() -> Vec<MalformedRequests> {
    let request = |node: &str, type_url: &str, names| vec![encode(&discovery_request(node, type_url, names))];
    let cluster = ResourceType::Cluster.url();
    let endpoint = ResourceType::Endpoint.url();
    let route = ResourceType::Route.url();
    let unknown_nonce =
        DiscoveryRequest { response_nonce: "999".to_string(), ..discovery_request("a", cluster, 0) };
    let unknown_nonces = vec![encode(&unknown_nonce); 20];
    let large = vec![Bytes::from(vec![b'x'; 5 << 20])];
    let undecodable = vec![Bytes::from_static(b"\xff\xff\xff\xff")];
    let invalid = Code::InvalidArgument;
    let exhausted = Code::ResourceExhausted;
    let secrets = "/envoy.service.secret.v3.SecretDiscoveryService/StreamSecrets";
    let clusters = "/envoy.service.cluster.v3.ClusterDiscoveryService/StreamClusters";
    vec![
        MalformedRequests::new("unknown type", request("a", "type.googleapis.com/x.Y", 0), invalid, "x.Y"),
        MalformedRequests::new("10,000 names", request("a", endpoint, 10_000), exhausted, "names"),
        MalformedRequests::new(
            "node id of 1 MiB",
            request(&"n".repeat(1 << 20), cluster, 0),
            exhausted,
            "node.id",
        ),
        MalformedRequests::new("no node", request("", cluster, 0), invalid, "node.id"),
        MalformedRequests::new("too large", large, Code::OutOfRange, "too large"),
        MalformedRequests::new("undecodable", undecodable, invalid, "cannot be read"),
        MalformedRequests::new("unknown nonces", unknown_nonces, invalid, "response_nonce"),
        MalformedRequests::new("unknown service", request("a", cluster, 0), Code::Unimplemented, "Secret")
            .on(secrets),
        MalformedRequests::new("type of another stream", request("a", route, 0), invalid, "type_url")
            .on(clusters),
    ]
}

/// A malformed request must not disturb other streams, and its sender has to learn which field is at fault.
#[test]
fn malformed_requests_close_their_stream_with_a_clear_status() {
    let fixture = ControlPlaneFixture::new("bad-input");
    let (proxy, _behavior) = fixture.start_proxy(0);
    fixture.assert_served(&proxy);
    for MalformedRequests { description, path, requests, code, expected_text } in malformed_requests() {
        let status = fixture.stream_status(path, requests);
        let status = status.unwrap_or_else(|| panic!("{description}: the stream stays open"));
        assert_eq!(
            (status.code(), status.message().contains(expected_text)),
            (code, true),
            "{description}: {status:?}"
        );
        fixture.assert_served(&proxy);
    }
    assert!(cache_matches(&proxy, |cache| cache.version_regressions + cache.dangling_responses == 0));
}

/// An invalid load report would distort the analysis of the canary if it were counted.
#[test]
fn invalid_load_reports_close_their_stream_with_the_reason() {
    let fixture = ControlPlaneFixture::new("bad-loads");
    let (proxy, _behavior) = fixture.start_proxy(1);
    fixture.assert_served(&proxy);
    let stats = |cluster: &str, interval| ClusterStats {
        cluster_name: cluster.to_string(),
        load_report_interval: interval,
        ..ClusterStats::default()
    };
    let second = Some(ProtoDuration { seconds: 1, nanos: 0 });
    let duplicate = vec![stats("b1/look", second), stats("b1/look", second)];
    let cases = [
        (vec![stats("b1/look", None)], "load_report_interval"),
        (vec![stats("b1/look", Some(ProtoDuration { seconds: -1, nanos: 0 }))], "load_report_interval"),
        (vec![stats("b1/unknown", second)], "cluster_name"),
        (vec![stats("other", second)], "cluster_name"),
        (duplicate, "twice"),
    ];
    for (cluster_stats, expected_text) in cases {
        let node = Some(Node { id: "invalid-reporter".to_string(), ..Node::default() });
        let first = LoadStatsRequest { node: node.clone(), cluster_stats: Vec::new() };
        let (report_sender, report_receiver) = mpsc::channel(2);
        let status = fixture.runtime.block_on(async {
            report_sender.send(first).await.unwrap();
            report_sender.send(LoadStatsRequest { node, cluster_stats }).await.unwrap();
            timeout(Duration::from_secs(10), send_load_reports(fixture.control.addr, report_receiver))
                .await
                .expect("the service closes the stream")
        });
        let status = status.expect_err(expected_text);
        assert!(
            status.code() == Code::InvalidArgument && status.message().contains(expected_text),
            "{status:?}"
        );
        fixture.assert_served(&proxy);
    }
}

/// A proxy that reconnects after each rejection must not occupy the service so that others receive no changes.
#[test]
fn proxy_that_keeps_reconnecting_does_not_starve_others() {
    let fixture = ControlPlaneFixture::new("loop");
    let (other_proxy, _behavior) = fixture.start_proxy(0);
    fixture.assert_served(&other_proxy);
    for _ in 0..60 {
        let status = fixture
            .stream_status(ADS_PATH, vec![encode(&discovery_request("loop", "type.googleapis.com/x.Y", 0))]);
        assert_eq!(status.map(|status| status.code()), Some(Code::InvalidArgument));
    }
    fixture.assert_served(&other_proxy);
    let (late, _late_behavior) = fixture.start_proxy(1);
    wait_until("a new proxy receives its resources", || {
        cache_matches(&late, |cache| cache.route("pay", false).is_some())
    });
}

#[test]
fn connection_from_a_disallowed_network_is_rejected() {
    let fixture = ControlPlaneFixture::start(
        "networks",
        |_| String::new(),
        |text| {
            text.replace(
                "\"listener\":",
                "\"allowed_networks\": [\"127.1.0.0/16\", \"10.0.0.0/8\"],\n        \"listener\":",
            )
        },
    );
    let connected = fixture.runtime.block_on(async {
        let Ok(channel) = connect(fixture.control.addr).await else { return false };
        let mut grpc = Grpc::new(channel);
        if grpc.ready().await.is_err() {
            return false;
        }
        let (request_sender, request_receiver) = mpsc::channel(1);
        request_sender
            .send(vec![encode(&discovery_request("a", ResourceType::Cluster.url(), 0))])
            .await
            .unwrap();
        let codec = ChunkCodec::<DiscoveryResponse>::default();
        let stream = tonic::Request::new(ReceiverStream::new(request_receiver));
        grpc.streaming(stream, PathAndQuery::from_static(ADS_PATH), codec).await.is_ok()
    });
    assert!(!connected);
}

/// A restarted service without its stored record would send resources with older versions, or remove some.
#[test]
fn proxies_keep_their_resources_while_the_service_restarts() {
    let extra_config = |folder: &str| format!("\"state\": \"{folder}/state.redb\",");
    let mut fixture = ControlPlaneFixture::start("restart", extra_config, |text| text);
    let (proxies, behaviors): (Vec<FakeProxy>, Vec<_>) = (0..4).map(|n| fixture.start_proxy(n)).unzip();
    proxies.iter().for_each(|proxy| fixture.assert_served(proxy));
    let has_all_resources = |proxy: &FakeProxy| {
        cache_matches(proxy, |cache| {
            cache.version_share("pay", 1) == 1_000_000
                && cache.cluster_endpoints("b1/pay").endpoints.len() == 3
        })
    };
    assert!(proxies.iter().all(has_all_resources));
    for _ in 0..3 {
        wait_until("the state is on disk", || !fixture.control.logged("state store: written").is_empty());
        fixture.control.kill();
        assert!(proxies.iter().all(has_all_resources), "a stopped service removes nothing");
        fixture.control = Process::start_control(&fixture.folder.join("control.star"));
        assert_eq!(fixture.control.logged("found=true").len(), 1, "the stored record is found");
        let addr = fixture.control.addr;
        for behavior in &behaviors {
            behavior.send_modify(|behavior| behavior.service = Some(addr));
        }
        proxies.iter().for_each(|proxy| fixture.assert_served(proxy));
        assert!(proxies.iter().all(has_all_resources));
    }
    let is_consistent = |cache: &ResourceCache| cache.version_regressions + cache.dangling_responses == 0;
    assert!(proxies.iter().all(|proxy| cache_matches(proxy, is_consistent)));
}

/// Endless loops and recursion are among the errors: `check` must not hang or crash on them.
#[test]
fn check_names_file_line_and_key_of_each_error() {
    let folder = std::env::temp_dir().join(format!("latchhaven-check-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let file = folder.join("control.star");
    let valid = control_config("a", ANY_PORT, ANY_PORT, ANY_PORT, false, "");
    let endless_script = format!(
        "def f():\n    for a in range(100000):\n        for b in range(100000):\n            pass\nf()\n{valid}"
    );
    let cases = [
        (valid.clone(), 0, "fit"),
        (valid.replace("\"listener\"", "\"listner\""), 1, "control.xds.listner"),
        (
            valid.replace("\"in_flight_per_host\": 64", "\"in_flight_per_host\": 0"),
            1,
            "control.xds.in_flight_per_host",
        ),
        (
            valid.replace("\"127.0.0.1:0\",\n        \"listener\"", "\"10.1.2.3:0\",\n        \"listener\""),
            1,
            "control.xds.listen",
        ),
        (valid.replace("\"aim-s\": 0.6", "\"aim-s\": 0.0"), 1, "aim-s"),
        (valid.replace("control = ", "contrl = "), 1, "control: not set"),
        ("load(\"../other.star\", \"a\")\n".to_string() + &valid, 1, "only files in the same folder"),
        ("load(\"control.star\", \"control\")\n".to_string(), 1, "circle"),
        (endless_script, 1, "control.star"),
        ("x = [0]\ndef g():\n    return g()\ng()\n".to_string() + &valid, 1, "control.star:"),
        ("control = {".to_string(), 1, "control.star:1"),
    ];
    for (text, code, expected_text) in cases {
        std::fs::write(&file, &text).unwrap();
        let check_output = std::process::Command::new(program()).arg("check").arg(&file).output().unwrap();
        let output = String::from_utf8_lossy(&check_output.stdout).to_string();
        assert_eq!(
            (check_output.status.code(), output.contains(expected_text)),
            (Some(code), true),
            "{expected_text}: {output}"
        );
    }
    std::fs::write(&file, valid.replace("\"listener\"", "\"listner\"")).unwrap();
    let check_output = std::process::Command::new(program()).arg("check").arg(&file).output().unwrap();
    let line = valid.lines().position(|line| line.contains("\"listener\"")).unwrap() + 1;
    assert!(String::from_utf8_lossy(&check_output.stdout).contains(&format!("control.star:{line}: ")));
    std::fs::remove_dir_all(folder).unwrap();
}
