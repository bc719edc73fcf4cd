"""Options that all operators' commands share, from flags or the environment."""

from __future__ import annotations

import os

import msgspec

from leverjunction.cli.output import print_progress
from leverjunction.cli_client import OperatorClient, read_secret
from leverjunction.errors import Failure, FailureKind, Step

CONTROL_VARIABLE = "LEVERJUNCTION_CONTROL"
TOKEN_FILE_VARIABLE = "LEVERJUNCTION_TOKEN_FILE"
HIGHEST_PORT = 65535


class Options(msgspec.Struct, frozen=True, kw_only=True):
    """Shared options.

    Attributes:
        control: Addresses of control processes, ``host:port``, tried in order.
        token_file: File with the operators' token.
        as_json: Print data as JSON instead of tables.
    """

    control: list[str]
    token_file: str
    as_json: bool

    def client(self) -> OperatorClient | Failure:
        """Return a client of the control processes."""
        addresses = self.addresses()
        return addresses if isinstance(addresses, Failure) else self.client_of(addresses)

    def addresses(self) -> list[str] | Failure:
        """Return the checked addresses of the control processes, at least one."""
        if not self.control:
            return _bad(f"no control process given: use --control host:port or {CONTROL_VARIABLE}")
        addresses: list[str] = []
        for text in self.control:
            address = parse_address(text, "--control")
            if isinstance(address, Failure):
                return address
            addresses.append(address)
        return addresses

    def client_of(self, addresses: list[str]) -> OperatorClient | Failure:
        """Return a client of other processes that take the operators' token."""
        token = read_secret(self.token_file, f"token (--token-file, {TOKEN_FILE_VARIABLE})")
        if isinstance(token, Failure):
            return token
        return OperatorClient(addresses, token, tell=print_progress)


def make_options(control: object, token_file: str, as_json: bool) -> Options:
    """Return the options, from flags where given and else from the environment."""
    return Options(
        control=addresses_of(control or os.environ.get(CONTROL_VARIABLE, "")),
        token_file=token_file or os.environ.get(TOKEN_FILE_VARIABLE, ""),
        as_json=as_json,
    )


def parse_address(text: str, flag: str) -> str | Failure:
    """Return the ``host:port`` that a flag gives, as such or as the URL of a process."""
    address = text.removeprefix("http://").rstrip("/")
    host, _, port = address.rpartition(":")
    if host and port.isascii() and port.isdigit() and int(port) <= HIGHEST_PORT:
        return address
    return _bad(f"{flag}: expected host:port, got {text!r}")


def _bad(reason: str) -> Failure:
    return Failure(kind=FailureKind.BAD_REQUEST, reason=reason, step=Step.CONFIGURATION)


def addresses_of(value: object) -> list[str]:
    """Return addresses from a comma-separated text, or from the list fire makes of one."""
    parts = value if isinstance(value, list | tuple) else str(value).split(",")
    return [str(part).strip() for part in parts if str(part).strip()]
