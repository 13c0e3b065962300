"""Starts, pauses, stops and kills gateway processes, each by its own process id."""

import os
import signal
import socket
import subprocess
import sys
from pathlib import Path
from random import SystemRandom
from typing import Any

import yaml

from pumicedeck.platform.__main__ import SETTINGS_VARIABLE
from pumicedeck.topology import Address

LOOPBACK_HOST = "127.0.0.1"
_MODULE = "pumicedeck.platform"
# Below the ports that Linux assigns to outgoing connections.
_PORT_RANGE = (12_000, 32_000)


def free_port() -> int:
    """Return a port without a listener, which no outgoing connection can be assigned."""
    while True:
        port = SystemRandom().randrange(*_PORT_RANGE)
        with socket.socket() as sock:
            if sock.connect_ex((LOOPBACK_HOST, port)):
                return port


class GatewayProcess:
    """A gateway process; its settings file, log and ports stay the same over restarts."""

    def __init__(
        self, name: str, folder: Path, store: Address, settings: dict[str, Any] | None = None
    ) -> None:
        """Choose the ports and write the settings file to `folder`; `settings` are added to it."""
        self.name = name
        self.callers = Address(LOOPBACK_HOST, free_port())
        self.readiness = Address(LOOPBACK_HOST, free_port())
        self._settings = folder / f"{name}.yaml"
        self._log = folder / f"{name}.log"
        self._process: subprocess.Popen | None = None
        document = {
            "vm": name,
            "failure_domain": "z",
            "region": "r",
            "regions": {"z": "r"},
            "callers": f"{LOOPBACK_HOST}:{self.callers.port}",
            "readiness": f"{LOOPBACK_HOST}:{self.readiness.port}",
            "store": {"address": f"{store.host}:{store.port}"},
            **(settings or {}),
        }
        self._settings.write_text(yaml.safe_dump(document), encoding="utf-8")

    @property
    def is_running(self) -> bool:
        """Return whether the process exists, paused or not."""
        return self._process is not None and self._process.poll() is None

    @property
    def process_id(self) -> int:
        """Return the id of the process, which must have been started."""
        return self._process.pid

    def start(self) -> None:
        """Start the process unless it is running."""
        if self.is_running:
            return
        environment = {**os.environ, SETTINGS_VARIABLE: str(self._settings)}
        with self._log.open("ab") as log:
            self._process = subprocess.Popen(
                [sys.executable, "-m", _MODULE], stdout=log, stderr=log, env=environment
            )

    def send(self, signal_number: signal.Signals) -> None:
        """Send a signal to the process if it is running."""
        if self.is_running:
            self._process.send_signal(signal_number)

    def close(self, seconds: float) -> None:
        """Terminate the process and kill it if it has not exited after `seconds`."""
        if not self.is_running:
            return
        self.send(signal.SIGCONT)
        self.send(signal.SIGTERM)
        try:
            self._process.wait(seconds)
        except subprocess.TimeoutExpired:
            self._process.kill()
            self._process.wait()
