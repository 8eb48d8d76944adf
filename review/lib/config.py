"""A configuration like that of a small deployment (wire examples of dap-footfall)."""


def configuration(*, reserved=10_000_000, version=7, keys=("key-of-tenant-1",)):
    return {
        "version": version,
        "routes": [
            {
                "name": "r-trend",
                "hostname": "ficu95.example",
                "path_prefix": "/trend/",
                "route_type": "streaming",
                "timeout_ms": 15000,
                "target_latency_ms": 600,
                "priority": 0,
                "backend": "writer",
                "max_attempts": 1,
                "anonymous": False,
                "session_affinity": True,
                "stream_resumption": False,
                "target_itl_ms": 300,
            },
            {
                "name": "r-sign",
                "hostname": "ficu95.example",
                "path_prefix": "/sign/",
                "route_type": "non_idempotent",
                "timeout_ms": 2000,
                "target_latency_ms": 250,
                "priority": 2,
                "backend": "ledger",
                "max_attempts": 2,
                "anonymous": False,
                "session_affinity": False,
                "stream_resumption": False,
                "target_itl_ms": 0,
            },
            {
                "name": "r-read",
                "hostname": "ficu95.example",
                "path_prefix": "/read/",
                "route_type": "idempotent",
                "timeout_ms": 2000,
                "target_latency_ms": 250,
                "priority": 2,
                "backend": "ledger",
                "max_attempts": 2,
                "anonymous": False,
                "session_affinity": False,
                "stream_resumption": False,
                "target_itl_ms": 0,
            },
        ],
        "backends": [
            {
                "name": "writer",
                "health_check_path": "/healthz",
                "max_connections": 230,
                "protocol": "h1",
                "tls": False,
                "runtime": {
                    "capacity": 32,
                    "kv_capacity_tokens": 210480,
                    "block_size": 3,
                    "model_list": [{"name": "m"}],
                },
            },
            {
                "name": "ledger",
                "health_check_path": "/healthz",
                "max_connections": 100,
                "protocol": "h1",
                "tls": False,
            },
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [
            {
                "name": "tenant-1",
                "api_keys": list(keys),
                "priority": 1,
                "reserved": reserved,
            }
        ],
    }
