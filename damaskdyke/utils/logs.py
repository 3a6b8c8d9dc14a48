"""Structured logging: one line for each decision and state change."""

import json
import logging
import sys
import time
from typing import Any

LEVELS = {
    "debug": logging.DEBUG,
    "info": logging.INFO,
    "warning": logging.WARNING,
    "error": logging.ERROR,
}


class EventFormatter(logging.Formatter):
    """Base of the formatters: collects the fields of one event in order."""

    def collect(self, record: logging.LogRecord) -> dict[str, Any]:
        """Return the fields of a record, its moment and event name first."""
        moment = time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(record.created))
        fields = {
            "at": f"{moment}.{int(record.msecs):03d}Z",
            "level": record.levelname.lower(),
            "logger": record.name,
            "event": record.getMessage(),
        }
        fields.update(getattr(record, "fields", {}))
        if record.exc_info:
            fields["trace"] = self.formatException(record.exc_info)
        return fields


class KeyValueFormatter(EventFormatter):
    """Write an event as ``key=value`` pairs."""

    def format(self, record: logging.LogRecord) -> str:
        """Return the line for a record."""
        pairs = self.collect(record).items()
        return " ".join(f"{key}={quote_value(value)}" for key, value in pairs)


class JsonFormatter(EventFormatter):
    """Write an event as one JSON object."""

    def format(self, record: logging.LogRecord) -> str:
        """Return the line for a record."""
        return json.dumps(self.collect(record), default=str)


FORMATTERS = {"key-value": KeyValueFormatter, "json": JsonFormatter}


def quote_value(value: Any) -> str:
    """Return a value as one word, quoted where it holds spaces or quotes."""
    text = str(value)
    if text and not any(mark in text for mark in ' "=\n'):
        return text
    return json.dumps(text)


def configure_logging(format_name: str, level_name: str) -> None:
    """Send every event of the process to standard error."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(FORMATTERS[format_name]())
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(LEVELS[level_name])
    logging.getLogger("urllib3").setLevel(logging.ERROR)
    logging.getLogger("thrift").setLevel(logging.CRITICAL)


def log_event(
    logger: logging.Logger, event: str, level: int = logging.INFO, **fields: Any
) -> None:
    """Log one event with named fields."""
    if logger.isEnabledFor(level):
        logger.log(level, event, extra={"fields": fields})
