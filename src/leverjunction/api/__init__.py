"""HTTP APIs: the OpenAI-compatible API for callers, the operators' API and the probes."""
