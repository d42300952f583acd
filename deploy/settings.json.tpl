{
  "vm": {{node_name|json}},
  "data_centre": {{zone|json}},
  "ip": {{ip|json}},
  "processor": { "share": {{limits.cpu_share|json}}, "speed": {{limits.cores|json}} },
  "memory": {{limits.memory_mb|json}},
  "descriptors": {{limits.max_fds|json}},
  "listen": { "callers": {{listen.frontend|json}}, "ready": {{listen.ready|json}} },
  "ports": { "first": {{internal_ports.0}}, "last": {{internal_ports.1}} },
  "store": {
    "address": {{platform.address|json}},
    "shortest": {{platform.min_ttl_ms|json}},
    "parts": {{platform.parts|json}}
  },
  "first": {{bootstrap|json}},
  "bounds": {
    "revoke": {{bounds.revoke_ms|json}},
    "grace": {{bounds.grace_s|json}},
    "lease": {{bounds.lease_ms|json}},
    "retries": {{bounds.retry_ratio|json}},
    "spare": {{bounds.retry_allowance|json}},
    "tokens": {{bounds.quota_allowance|json}}
  }
}
