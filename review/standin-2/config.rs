//! Configurations as the operator writes them.

use crate::client::HOST;

#[derive(Debug, Clone)]
pub struct Config {
    pub version: u64,
    /// Name and keys of each tenant.
    pub tenants: Vec<(String, Vec<String>)>,
    /// Names of further routes, to `desk`.
    pub more: Vec<String>,
}

impl Config {
    pub fn text(&self) -> String {
        let route = |name: &str, prefix: &str, rest: &str| {
            format!(
                "{{\"name\":\"{name}\",\"host\":\"{HOST}\",\"prefix\":\"{prefix}\",\"public\":false,{rest}}}"
            )
        };
        let desk = "\"service\":\"desk\",\"sticky\":false,\"resumable\":false,\"priority\":0,\
                    \"target_latency_ms\":300,\"timeout_ms\":2000";
        let pool = "\"service\":\"pool\",\"sticky\":true,\"priority\":1,\"gap_aim_ms\":250,\
                    \"target_latency_ms\":600";
        let mut routes = vec![
            route(
                "once",
                "/once/",
                &format!("\"route_kind\":\"non_idempotent\",\"max_attempts\":1,{desk}"),
            ),
            route(
                "safe",
                "/safe/",
                &format!("\"route_kind\":\"idempotent\",\"max_attempts\":2,{desk}"),
            ),
            route(
                "resumed",
                "/stream/resumed/",
                &format!(
                    "\"route_kind\":\"streaming\",\"max_attempts\":2,\"resumable\":true,\
                     \"timeout_ms\":12000,{pool}"
                ),
            ),
            route(
                "single",
                "/stream/single/",
                &format!(
                    "\"route_kind\":\"streaming\",\"max_attempts\":1,\"resumable\":false,\
                     \"timeout_ms\":12000,{pool}"
                ),
            ),
        ];
        for name in &self.more {
            let rest = format!("\"route_kind\":\"idempotent\",\"max_attempts\":2,{desk}");
            routes.push(route(name, &format!("/{name}/"), &rest));
        }
        let tenants: Vec<String> = self
            .tenants
            .iter()
            .map(|(name, keys)| {
                let keys: Vec<String> = keys.iter().map(|key| format!("\"{key}\"")).collect();
                format!("{{\"name\":\"{name}\",\"api_keys\":[{}],\"priority\":1}}", keys.join(","))
            })
            .collect();
        format!(
            "{{\"version\":{},\"routes\":[{}],\"services\":[\
             {{\"name\":\"pool\",\"health_path\":\"/healthz\",\"max_connections\":360,\
             \"protocol\":\"h1\",\"tls\":false,\"engine\":{{\"slots\":64}}}},\
             {{\"name\":\"desk\",\"health_path\":\"/healthz\",\"max_connections\":100,\
             \"protocol\":\"h1\",\"tls\":false}}],\"limits\":{{\"max_header_bytes\":16384,\
             \"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
             \"tenants\":[{}]}}",
            self.version,
            routes.join(","),
            tenants.join(",")
        )
    }
}
