"""Errors of the soak itself, wherever they come up: a soak that stumbles has proved nothing."""

from __future__ import annotations

import logging
import threading
import traceback

from records import Records


class OwnFaults(logging.Handler):
    """Takes what threads and event loops raise, and what asyncio logs as an error."""

    def __init__(self, records: Records) -> None:
        super().__init__(logging.ERROR)
        self._records = records

    def watch(self) -> None:
        """Begin."""
        threading.excepthook = self._raised
        logging.getLogger("asyncio").addHandler(self)

    def emit(self, record: logging.LogRecord) -> None:
        """Take a line of asyncio."""
        self._note(record.getMessage() + _text(record.exc_info[1] if record.exc_info else None))

    def _raised(self, arguments: threading.ExceptHookArgs) -> None:
        self._note(_text(arguments.exc_value))

    def _note(self, text: str) -> None:
        self._records.own_faults.append(text)


def _text(error: BaseException | None) -> str:
    return "" if error is None else "".join(traceback.format_exception(error))
