"""The poller of every circuits loop of this project.

The default poller of circuits is select(2), which takes no descriptor above
1,023. The other ones search lists of all sockets for each change, and report
a hang-up of a socket past its owner.
"""

import os
from dataclasses import dataclass
from selectors import EVENT_READ, EVENT_WRITE, DefaultSelector
from typing import Any, final

from circuits import Event, handler
from circuits.core.pollers import BasePoller, _read, _write
from circuits.net.events import ready

from bramleylug.observability.events import LogEvent, emit

# Wake-ups that are taken from the control pipe at once.
CONTROL_BYTES = 4096


@final
@dataclass(slots=True)
class Registration:
    """What is awaited from one socket.

    :ivar descriptor: its file descriptor, which a closed socket has no more.
    :ivar channel: channel of the component that is told.
    :ivar events: mask of ``EVENT_READ`` and ``EVENT_WRITE``.
    """

    descriptor: int
    channel: Any
    events: int = 0


@final
class Poller(BasePoller):
    """Reports readable and writable sockets, whatever their descriptors.

    Adding and removing takes the same time however many sockets there are. A
    hang-up or an error is reported as the input or the free space that was
    awaited, so that the owner sees it in its next call on the socket; a socket
    from which nothing is awaited is not watched at all.

    :ivar waiting: whether the loop sleeps, or is about to.
    """

    channel = 'poller'

    def __init__(self) -> None:
        super().__init__(channel=self.channel)
        os.set_blocking(self._ctrl_recv, False)
        os.set_blocking(self._ctrl_send, False)
        self.selector = DefaultSelector()
        self.waiting = False
        self.registrations: dict[Any, Registration] = {}
        self.selector.register(self._ctrl_recv, EVENT_READ, None)

    def resume(self) -> None:
        """Wake the loop if it sleeps; thread-safe."""
        if not self.waiting:
            return
        try:
            os.write(self._ctrl_send, b'\0')
        except BlockingIOError:
            # So many wake-ups wait that the loop cannot sleep.
            return

    def addReader(self, source: Any, fd: Any) -> None:  # noqa: N802
        self._add(source, fd, EVENT_READ)

    def addWriter(self, source: Any, fd: Any) -> None:  # noqa: N802
        self._add(source, fd, EVENT_WRITE)

    def removeReader(self, fd: Any) -> None:  # noqa: N802
        self._remove(fd, EVENT_READ)

    def removeWriter(self, fd: Any) -> None:  # noqa: N802
        self._remove(fd, EVENT_WRITE)

    def discard(self, fd: Any) -> None:
        self._remove(fd, EVENT_READ | EVENT_WRITE)

    def isReading(self, fd: Any) -> bool:  # noqa: N802
        return self._awaits(fd, EVENT_READ)

    def isWriting(self, fd: Any) -> bool:  # noqa: N802
        return self._awaits(fd, EVENT_WRITE)

    def getTarget(self, fd: Any) -> Any:  # noqa: N802
        registration = self.registrations.get(fd)
        return self.parent if registration is None else registration.channel

    def _add(self, source: Any, sock: Any, events: int) -> None:
        registration = self.registrations.get(sock)
        if registration is None:
            registration = Registration(sock.fileno(), source.channel)
            self._discard_closed(registration.descriptor)
            self.registrations[sock] = registration
            registration.events = events
            self.selector.register(registration.descriptor, events, sock)
        elif registration.events | events != registration.events:
            registration.events |= events
            self._modify(sock, registration)

    def _remove(self, sock: Any, events: int) -> None:
        registration = self.registrations.get(sock)
        if registration is None or not registration.events & events:
            return
        registration.events &= ~events
        if registration.events:
            self._modify(sock, registration)
            return
        self.registrations.pop(sock)
        self.selector.unregister(registration.descriptor)

    def _discard_closed(self, descriptor: int) -> None:
        """Discard the socket that had a descriptor before it was closed."""
        key = self.selector.get_map().get(descriptor)
        if key is not None:
            self.discard(key.data)

    def _modify(self, sock: Any, registration: Registration) -> None:
        self.selector.modify(registration.descriptor, registration.events, sock)

    def _awaits(self, sock: Any, events: int) -> bool:
        registration = self.registrations.get(sock)
        return registration is not None and bool(registration.events & events)

    def _generate_events(self, event: Event) -> None:
        # Set before the time is read: an event that another thread fires from
        # here on either shortens the time or wakes the selector.
        self.waiting = True
        timeout_s = event.time_left
        reported = self.selector.select(None if timeout_s < 0 else timeout_s)
        self.waiting = False
        for key, events in reported:
            sock = key.data
            if sock is None:
                self._read_ctrl()
                continue
            if events & EVENT_WRITE:
                self.fire(_write(sock), self.getTarget(sock))
            if events & EVENT_READ:
                self.fire(_read(sock), self.getTarget(sock))

    def _read_ctrl(self) -> bytes:
        try:
            return os.read(self._ctrl_recv, CONTROL_BYTES)
        except BlockingIOError:
            return b''


class PolledServer:
    """Mixin of servers of circuits; they use the project's poller.

    The loop gets one if it has none yet. No server may look for one by itself:
    it would take, or add, a poller of another kind.
    """

    # Of the servers of circuits.
    root: Any
    host: Any
    port: Any
    fire: Any
    _sock: Any
    _poller: Any

    @handler('registered', 'started', channel='*')
    def _on_registered_or_started(
        self, component: Any, manager: Any = None
    ) -> None:
        if component is not self or self._poller is not None:
            return
        self._poller = _poller_of(self.root)
        self._poller.addReader(self, self._sock)
        self.fire(ready(self, (self.host, self.port)))


def _poller_of(root: Any) -> Poller:
    """Return the poller of a loop; add one if it has none yet."""
    for component in root.components:
        if isinstance(component, Poller):
            return component
    poller = Poller()
    poller.register(root)
    emit(LogEvent.polling, selector=type(poller.selector).__name__)
    return poller
