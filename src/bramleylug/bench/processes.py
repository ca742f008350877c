"""Daemons and stand-ins as child processes that can be killed or paused.

Only benches start processes; the system's own daemons start none.
"""

import json
import signal
import subprocess
import sys
import time
from collections.abc import Callable, Iterable
from pathlib import Path
from tempfile import TemporaryDirectory
from threading import Event, Thread
from typing import IO, final

from bramleylug.observability.events import LogEvent

START_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 40.0
POLL_INTERVAL_S = 0.05
COMMAND = (sys.executable, '-m', 'bramleylug.cli.main')
SERVING_EVENT = LogEvent.serving.value.number


class ChildError(RuntimeError):
    """A process did not start, end or reach a state in time."""


@final
class Child:
    """A child process that runs the ``bramleylug`` command.

    :param arguments: command line of ``bramleylug``.
    :ivar addresses: listen addresses by ``http``, ``grpc`` and ``gossip``;
        a stand-in has a single one, under ``http``.
    :ivar lines: all lines that it has printed.
    """

    def __init__(self, name: str, arguments: Iterable[str]) -> None:
        self.name = name
        self.arguments = tuple(arguments)
        self.addresses: dict[str, str] = {}
        self.lines: list[str] = []
        self.started = Event()
        self.process = subprocess.Popen(  # noqa: S603
            [*COMMAND, *self.arguments],
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            text=True,
        )
        for stream in (self.process.stdout, self.process.stderr):
            Thread(target=self._read, args=(stream,), daemon=True).start()

    def wait_until_serving(self) -> None:
        """Wait until it has logged its listen addresses.

        :raises ChildError: when it does not within the time limit.
        """
        if not self.started.wait(START_TIMEOUT_S):
            self.kill()
            raise ChildError(
                f'{self.name} did not start: last lines {self.lines[-3:]}'
            )

    def kill(self) -> None:
        """Kill it with SIGKILL, like a host that fails."""
        self.process.kill()
        self.process.wait()

    def pause(self) -> None:
        """Suspend it with SIGSTOP, like a host that stalls."""
        self.process.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Continue it after :meth:`pause`."""
        self.process.send_signal(signal.SIGCONT)

    def stop(self) -> int:
        """Stop it with SIGTERM and return its exit code.

        :raises ChildError: when it does not end in time.
        """
        self.process.terminate()
        try:
            return self.process.wait(STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired as error:
            self.kill()
            raise ChildError(f'{self.name} did not stop') from error

    def _read(self, stream: IO[str] | None) -> None:
        for line in stream or ():
            self.lines.append(line)
            if not self.started.is_set():
                self._parse_addresses(line)

    def _parse_addresses(self, line: str) -> None:
        if line.startswith('{'):
            fields = json.loads(line)
            if fields.get('event') != SERVING_EVENT:
                return
            for kind in ('http', 'grpc', 'gossip'):
                self.addresses[kind] = fields[kind]
        elif ' at ' in line:
            self.addresses['http'] = line.split()[-1]
        else:
            return
        self.started.set()


@final
class Processes:
    """A fleet of processes on loopback that are ended together.

    :ivar children: processes by name.
    :ivar store: address of the store stand-in; empty before its start.
    :ivar origin: address of the origin stand-in; empty before its start.
    """

    def __init__(self, region: str = 'region-1') -> None:
        self.region = region
        self.folder = TemporaryDirectory(prefix='bramleylug-')
        self.children: dict[str, Child] = {}
        self.store = ''
        self.origin = ''

    def start_fake(self, name: str, kind: str, *arguments: str) -> str:
        """Start a stand-in and return its address."""
        child = self._start(name, ('fakes', kind, *arguments))
        return child.addresses['http']

    def start_platform(self, *weights: str) -> None:
        """Start the store and the origin.

        :param weights: ``MODEL@VERSION=BYTES`` for the origin.
        """
        self.store = self.start_fake('store', 'store')
        flags = [f'--weights={text}' for text in weights]
        self.origin = self.start_fake('origin', 'origin', *flags)

    def start_entry(self, name: str, zone: str, *flags: str) -> Child:
        """Start an entry; an earlier one of the same name must have ended.

        The new process takes its place in ``children``, so that
        :meth:`close` no longer ends the earlier one.
        """
        return self._start(name, ('entry', *self._common(name, zone), *flags))

    def start_agent(
        self, name: str, zone: str, service: str, upstream: str, *flags: str
    ) -> Child:
        """Start an agent; an earlier one of the same name must have ended.

        It takes the place of the earlier one, as in :meth:`start_entry`.
        """
        arguments = (
            'agent',
            *self._common(name, zone),
            f'--service={service}',
            f'--upstream={upstream}',
            f'--origin={self.origin}',
            f'--staging-dir={Path(self.folder.name) / name}',
            *flags,
        )
        return self._start(name, arguments)

    def close(self) -> None:
        for child in self.children.values():
            child.resume()
            child.kill()
        self.folder.cleanup()

    def _common(self, name: str, zone: str) -> list[str]:
        seeds = [
            child.addresses['gossip']
            for child in tuple(self.children.values())
            if 'gossip' in child.addresses
        ]
        return [
            f'--name={name}',
            f'--zone={zone}',
            f'--region={self.region}',
            f'--store={self.store}',
            f'--seeds={",".join(seeds)}',
            '--log-format=json',
        ]

    def _start(self, name: str, arguments: Iterable[str]) -> Child:
        child = Child(name, arguments)
        child.wait_until_serving()
        self.children[name] = child
        return child


def wait_until(condition: Callable[[], bool], timeout_s: float) -> float:
    """Wait until a condition is true and return the seconds it took.

    :raises ChildError: when it does not become true in time.
    """
    started_s = time.monotonic()
    while not condition():
        if time.monotonic() - started_s > timeout_s:
            raise ChildError(f'condition not met within {timeout_s} s')
        time.sleep(POLL_INTERVAL_S)
    return time.monotonic() - started_s
