"""The gateway: admission, routing, stream relay, and the batch harvest of its runners."""
