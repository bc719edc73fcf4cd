"""The gateway: admission, routing and relay of online requests, and batch work on its runners."""
