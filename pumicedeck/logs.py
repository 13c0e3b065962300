"""Sets up structured logs: one JSON object or one line of text per record."""

import json
import sys
import time
from collections.abc import Callable
from traceback import format_exception

from loguru import logger

from pumicedeck.log_budgets import LogBudget

TEXT_FORMAT = "{time:YYYY-MM-DDTHH:mm:ss.SSS} {level} {extra[vm]} {message} {extra}"


def set_up_logs(vm: str, level: str, log_format: str) -> None:
    """Write records at or above `level` to standard error; `log_format` is json or text."""
    logger.remove()
    logger.configure(extra={"vm": vm, "module": ""})
    if log_format == "json":
        logger.add(sys.stderr, level=level, serialize=True, format="{message}")
    else:
        logger.add(sys.stderr, level=level, format=TEXT_FORMAT)


def set_up_event_logs(vm: str, level: str, write: Callable[[str], None]) -> None:
    """Pass each record to `write` as one line of JSON with its event, module and fields.

    A `LogBudget` limits the rate of lines per event; an extra line reports how many were omitted.
    """

    budget = LogBudget()

    def sink(message) -> None:
        record = message.record
        unix_seconds, monotonic_now = record["time"].timestamp(), time.monotonic()
        omitted_counts = budget.take_omitted_counts(monotonic_now)
        if omitted_counts:
            omission_record = {
                "at": round(unix_seconds, 3),
                "vm": vm,
                "event": "log lines left out",
                **omitted_counts,
            }
            write(json.dumps(omission_record) + "\n")
        if not budget.admit(record["message"], monotonic_now):
            return
        fields = dict(record["extra"])
        document = {
            "at": round(unix_seconds, 3),
            "vm": vm,
            "level": record["level"].name,
            "module": fields.pop("module", ""),
            "event": record["message"],
            **fields,
        }
        if record["exception"] is not None:
            document["error"] = "".join(format_exception(*record["exception"]))
        write(json.dumps(document, default=str) + "\n")

    logger.remove()
    logger.configure(extra={"module": ""})
    logger.add(sink, level=level, format="{message}")
