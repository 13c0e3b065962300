"""Real gateway processes: started, paused, stopped and killed by their own ids."""

import os
import signal
import socket
import subprocess
import sys
from pathlib import Path
from random import SystemRandom

import yaml

from pumicedeck.platform.__main__ import SETTINGS_VARIABLE
from pumicedeck.topology import Address

LOCAL = "127.0.0.1"
_MODULE = "pumicedeck.platform"
# Below the ports that Linux gives to outgoing connections.
_PORTS = (12_000, 32_000)


def free_port() -> int:
    """Return a port that nobody listens on, and that no outgoing connection gets meanwhile."""
    while True:
        port = SystemRandom().randrange(*_PORTS)
        with socket.socket() as sock:
            if sock.connect_ex((LOCAL, port)):
                return port


class GatewayProcess:
    """One gateway with its settings, its log and its ports, which stay over restarts."""

    def __init__(self, name: str, folder: Path, store: Address) -> None:
        """Prepare the settings file in `folder`."""
        self.name = name
        self.callers = Address(LOCAL, free_port())
        self.readiness = Address(LOCAL, free_port())
        self._settings = folder / f"{name}.yaml"
        self._log = folder / f"{name}.log"
        self._process: subprocess.Popen | None = None
        document = {
            "vm": name,
            "failure_domain": "z",
            "region": "r",
            "regions": {"z": "r"},
            "callers": f"{LOCAL}:{self.callers.port}",
            "readiness": f"{LOCAL}:{self.readiness.port}",
            "store": {"address": f"{store.host}:{store.port}"},
        }
        self._settings.write_text(yaml.safe_dump(document), encoding="utf-8")

    @property
    def is_running(self) -> bool:
        """Return whether the process lives, paused or not."""
        return self._process is not None and self._process.poll() is None

    def start(self) -> None:
        """Start the process unless it lives."""
        if self.is_running:
            return
        environment = {**os.environ, SETTINGS_VARIABLE: str(self._settings)}
        with self._log.open("ab") as log:
            self._process = subprocess.Popen(
                [sys.executable, "-m", _MODULE], stdout=log, stderr=log, env=environment
            )

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it lives."""
        if self.is_running:
            self._process.send_signal(number)

    def close(self, seconds: float) -> None:
        """End the process, by force after `seconds`."""
        if not self.is_running:
            return
        self.send(signal.SIGCONT)
        self.send(signal.SIGTERM)
        try:
            self._process.wait(seconds)
        except subprocess.TimeoutExpired:
            self._process.kill()
            self._process.wait()
