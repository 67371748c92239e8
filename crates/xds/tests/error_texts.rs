//! Error texts of closed streams. Proxies and operators' logs show them, so they must not change unnoticed.

use latchhaven_xds::load_stats::LoadReportError;
use latchhaven_xds::server::LoadReportRejected;
use latchhaven_xds::stream::StreamError;

#[test]
fn load_report_error_text_names_the_field() {
    let texts = [
        (LoadReportError::TooManyClusters, "cluster_stats: more than 1024"),
        (LoadReportError::MissingInterval, "load_report_interval: missing"),
        (LoadReportError::InvalidInterval, "load_report_interval: not positive"),
        (LoadReportError::UnknownCluster, "cluster_name: unknown cluster"),
        (LoadReportError::TooManyEndpoints, "upstream_endpoint_stats: more than 20000"),
        (LoadReportError::InvalidAddress, "upstream_endpoint_stats: address missing or invalid"),
        (LoadReportError::DuplicateEndpoint, "upstream_endpoint_stats: repeated endpoint"),
        (LoadReportError::InvalidDropCount, "dropped_requests: sum above total_dropped_requests"),
    ];
    for (error, text) in texts {
        assert_eq!(error.to_string(), text);
    }
}

#[test]
fn stream_error_has_its_text_and_status() {
    let unsupported = StreamError::UnsupportedType { url: "x".to_string() };
    let texts = [
        (StreamError::MissingNodeId, "node.id: missing in the first request", false),
        (StreamError::NodeIdTooLong, "node.id: longer than 256 bytes", true),
        (unsupported, "type_url: 'x' is not supported on this stream", false),
        (
            StreamError::RequestTooLarge,
            "more than 1024 subscribed names, or more than 20000 initial versions or unsubscribed names",
            true,
        ),
        (StreamError::SubscriptionTooLarge, "more than 1024 subscribed names", true),
        (StreamError::NameTooLong, "resource name longer than 512 bytes", true),
        (StreamError::UnknownNonce, "response_nonce: unknown on this stream", false),
    ];
    for (error, text, is_resource_exhausted) in texts {
        assert_eq!(error.to_string(), text);
        assert_eq!(error.is_resource_exhausted(), is_resource_exhausted, "{text}");
    }
}

#[test]
fn load_report_rejection_keeps_the_text_of_its_reason() {
    let rejected = LoadReportRejected::new("load_report_interval: not from 1 ms to 1 h");
    assert_eq!(rejected.to_string(), "load_report_interval: not from 1 ms to 1 h");
}
