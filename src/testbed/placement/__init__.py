"""Many gateways before shared back ends in virtual time, on the product's own decisions."""
