"""Gateway for routed requests with opaque bodies; see docs/operators/proxy.md."""
