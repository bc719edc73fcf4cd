"""Routed requests in virtual time: callers, the product's gateways, and back ends.

``ProxyNode`` is the product's own, down to the bytes of callers and back ends, on an event loop in
virtual time. Stand-ins: sockets, the RPC client, callers and back ends. Left out: batch jobs, and
what gateways tell the stores of their load.
"""
