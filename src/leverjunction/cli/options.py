"""Options that all operator commands share, from flags or the environment."""

from __future__ import annotations

import os

import msgspec

from leverjunction.cli.output import print_progress
from leverjunction.cli_client import OperatorClient, read_secret
from leverjunction.errors import Execution, Failure, FailureKind, Step

CONTROL_VARIABLE = "LEVERJUNCTION_CONTROL"
TOKEN_FILE_VARIABLE = "LEVERJUNCTION_TOKEN_FILE"
HIGHEST_PORT = 65535


class Options(msgspec.Struct, frozen=True, kw_only=True):
    """Options that all operator commands share.

    Attributes:
        control: Addresses of control processes, ``host:port``, tried in order.
        token_file: File with the operator token.
        as_json: Print data as JSON instead of tables.
    """

    control: list[str]
    token_file: str
    as_json: bool

    def client(self) -> OperatorClient | Failure:
        """Return a client of the control processes."""
        addresses = self.addresses()
        return addresses if isinstance(addresses, Failure) else self.client_for(addresses)

    def addresses(self) -> list[str] | Failure:
        """Return the validated addresses of the control processes; a failure if there are none."""
        if not self.control:
            return _bad_request(
                f"no control process given: use --control host:port or {CONTROL_VARIABLE}"
            )
        addresses: list[str] = []
        for text in self.control:
            address = parse_address(text, "--control")
            if isinstance(address, Failure):
                return address
            addresses.append(address)
        return addresses

    def client_for(self, addresses: list[str]) -> OperatorClient | Failure:
        """Return a client of the processes at the given addresses, using the operator token."""
        token = read_secret(self.token_file, f"token (--token-file, {TOKEN_FILE_VARIABLE})")
        if isinstance(token, Failure):
            return token
        return OperatorClient(addresses, token, on_retry=print_progress)


def make_options(control: object, token_file: str, as_json: bool) -> Options:
    """Build the options from flags, falling back to environment variables."""
    return Options(
        control=split_addresses(control or os.environ.get(CONTROL_VARIABLE, "")),
        token_file=token_file or os.environ.get(TOKEN_FILE_VARIABLE, ""),
        as_json=as_json,
    )


def parse_address(text: str, flag: str) -> str | Failure:
    """Return the ``host:port`` of a flag whose value is an address or an HTTP URL."""
    address = text.removeprefix("http://").rstrip("/")
    host, _, port = address.rpartition(":")
    if host and port.isascii() and port.isdigit() and int(port) <= HIGHEST_PORT:
        return address
    return _bad_request(f"{flag}: expected host:port, got {text!r}")


def _bad_request(reason: str) -> Failure:
    return Failure(
        kind=FailureKind.BAD_REQUEST,
        reason=reason,
        step=Step.CONFIGURATION,
        execution=Execution.NOT_RUN,
    )


def split_addresses(value: object) -> list[str]:
    """Split a comma-separated text into addresses; fire may already have parsed it to a list."""
    parts = value if isinstance(value, list | tuple) else str(value).split(",")
    return [str(part).strip() for part in parts if str(part).strip()]
