"""Carrying faults out on the processes and links of a deployment."""

import asyncio
import signal
import time
from collections.abc import Awaitable, Callable
from typing import final

from bramleylug.soak.checks import Record, Span
from bramleylug.soak.deployment import KEYS, ZONES, Deployment
from bramleylug.soak.faults import Fault, Kind
from bramleylug.soak.proxy import Trouble

TROUBLES = (Trouble.reset, Trouble.silent, Trouble.one_way, Trouble.delay)
# Spreads the troubles over the same draw that picks the link.
TROUBLE_STEPS = 97
# What is signalled how; what is killed or stopped is started again.
SIGNALS = {
    Kind.relay_paused: ('relay', signal.SIGSTOP),
    Kind.relay_killed: ('relay', signal.SIGKILL),
    Kind.relay_stopped: ('relay', signal.SIGTERM),
    Kind.relay_reloaded: ('relay', signal.SIGHUP),
    Kind.loader_paused: ('loader', signal.SIGSTOP),
    Kind.loader_killed: ('loader', signal.SIGKILL),
    Kind.engine_killed: ('engine', signal.SIGKILL),
    Kind.store_paused: ('store', signal.SIGSTOP),
    Kind.origin_paused: ('origin', signal.SIGSTOP),
}
# A key or a zone stays away for longer than its promise takes.
PROMISE_S = 4.0


@final
class Acts:
    """Does what a fault says, and notes what it disturbs."""

    def __init__(self, deployment: Deployment, record: Record) -> None:
        self.deployment = deployment
        self.record = record
        self.weights = 1
        self.revoked: set[str] = set()
        self.acts: dict[Kind, Callable[[Fault], Awaitable[None]]] = {
            Kind.store_paused: self._store_paused,
            Kind.store_forgets: self._store_forgets,
            Kind.relay_to_store: self._relay_to_store,
            Kind.to_engine: self._to_engine,
            Kind.weights_named: self._weights_named,
            Kind.config_changed: self._config_changed,
            Kind.key_revoked: self._key_revoked,
            Kind.zone_out: self._zone_out,
        }

    async def carry_out(self, fault: Fault) -> None:
        """Do one fault from its begin to its end."""
        act = self.acts.get(fault.kind, self._signal)
        await act(fault)

    def _name(self, prefix: str, pick: float) -> str:
        names = [
            name for name in self.deployment.programs if name.startswith(prefix)
        ]
        return names[int(pick * len(names))]

    async def _signal(self, fault: Fault) -> None:
        prefix, first = SIGNALS[fault.kind]
        name = self._name(prefix, fault.pick)
        program = self.deployment.programs[name]
        began_s = time.time()
        ended = program.process
        program.send(first)
        await asyncio.sleep(fault.for_s)
        if first is signal.SIGSTOP:
            program.send(signal.SIGCONT)
        elif first in {signal.SIGKILL, signal.SIGTERM}:
            await program.restarted(ended)
        self._disturbed(name, began_s)

    def _disturbed(self, name: str, began_s: float) -> None:
        if name.startswith('relay'):
            self.record.unstable.append(Span(name, began_s, time.time()))

    async def _store_paused(self, fault: Fault) -> None:
        began_s = time.time()
        await self._signal(fault)
        self.record.unstable.append(Span('', began_s, time.time()))

    async def _store_forgets(self, fault: Fault) -> None:
        began_s = time.time()
        await self.deployment.control({'forget': True})
        self.record.unstable.append(Span('', began_s, time.time()))

    async def _relay_to_store(self, fault: Fault) -> None:
        name = self._name('relay', fault.pick)
        began_s = time.time()
        await self._trouble(f'{name} to store', fault)
        self._disturbed(name, began_s)

    async def _to_engine(self, fault: Fault) -> None:
        names = list(self.deployment.engines)
        name = names[int(fault.pick * len(names))]
        await self._trouble(f'to {name}', fault)

    async def _trouble(self, link: str, fault: Fault) -> None:
        proxy = self.deployment.links[link]
        trouble = TROUBLES[int(fault.pick * TROUBLE_STEPS) % len(TROUBLES)]
        proxy.apply(trouble)
        await asyncio.sleep(fault.for_s)
        proxy.apply(Trouble.none)

    async def _weights_named(self, fault: Fault) -> None:
        self.weights += 1
        version = self.weights
        document = {'model': 'fitting', 'version': version}
        await self.deployment.control(
            {'put': 'op/version/fitting', 'document': document}
        )
        self.record.named[version] = time.time()

    async def _config_changed(self, fault: Fault) -> None:
        await self._publish()

    async def _key_revoked(self, fault: Fault) -> None:
        key = KEYS[int(fault.pick * len(KEYS))]
        if key in self.revoked:
            return
        self.revoked.add(key)
        await self._publish()
        began_s = time.time()
        await asyncio.sleep(fault.for_s + PROMISE_S)
        self.record.revoked.append(Span(key, began_s, time.time()))
        self.revoked.remove(key)
        await self._publish()

    async def _publish(self) -> None:
        """Write a configuration without the keys that are revoked now."""
        left = [key for key in KEYS if key not in self.revoked]
        await self.deployment.publish(left)

    async def _zone_out(self, fault: Fault) -> None:
        zone = ZONES[int(fault.pick * len(ZONES))]
        key = f'op/evacuate/{zone}'
        await self.deployment.control({'put': key, 'document': {}})
        began_s = time.time()
        await asyncio.sleep(fault.for_s + PROMISE_S)
        self.record.out.append(Span(zone, began_s, time.time()))
        await self.deployment.control({'remove': key})
