"""Injects faults into the processes and links of a deployment."""

import asyncio
import signal
import time
from collections.abc import Awaitable, Callable
from typing import final

from bramleylug.soak.configuration_faults import ConfigurationFaults
from bramleylug.soak.crowd import crowd_relay
from bramleylug.soak.deployment import (
    IDLE_LIMIT_S,
    KEYS,
    ZONES,
    Deployment,
)
from bramleylug.soak.engine_faults import EngineFaults
from bramleylug.soak.fault_schedule import Fault, Kind
from bramleylug.soak.observations import Interval, Observations, SilentPage
from bramleylug.soak.odd_entries import build_odd_entry
from bramleylug.soak.pause_faults import PauseFaults
from bramleylug.soak.proxy import LinkFault
from bramleylug.soak.spoilage_faults import SpoilageFaults
from bramleylug.soak.traffic import Traffic

LINK_FAULTS = (
    LinkFault.reset,
    LinkFault.silent,
    LinkFault.one_way,
    LinkFault.delay,
)
# Derives the link fault from the random number that also selects the link.
LINK_FAULT_STEPS = 97
# Role of the process and signal of each kind that signals a process. The
# deployment restarts processes that exit; the injector resumes paused ones.
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
# Added to the duration of a revocation or evacuation, so that all of them
# outlast the time limit within which they have to take effect.
EXTRA_DURATION_S = 6.0
# Harmful requests go on after the time limits that their crashes start.
HARMFUL_EXTRA_S = 14.0
LOW_IDLE_LIMITS_S = (1.5, 3.0, 5.0)


@final
class FaultInjector:
    """Carries out faults and records which relays and times they affect.

    :ivar version: latest target version of the weights.
    :ivar revoked: keys that are revoked now.
    :ivar low_limits_s: idle limits of the faults that lower it now.
    """

    def __init__(
        self,
        deployment: Deployment,
        observations: Observations,
        traffic: Traffic,
    ) -> None:
        self.deployment = deployment
        self.observations = observations
        self.traffic = traffic
        self.low_limits_s: list[float] = []
        self.engine_faults = EngineFaults(deployment)
        self.pause_faults = PauseFaults(
            deployment, observations, traffic, self._weights_named
        )
        spoilage_faults = SpoilageFaults(
            deployment, self._weights_named, self.pause_faults.pause
        )
        configuration_faults = ConfigurationFaults(
            deployment, observations, self._publish, self._zone_out
        )
        self.version = 1
        self.revoked: set[str] = set()
        self.handlers: dict[Kind, Callable[[Fault], Awaitable[None]]] = {
            Kind.store_paused: self._store_paused,
            Kind.store_forgets: self._store_forgets,
            Kind.relay_to_store: self._relay_to_store,
            Kind.to_engine: self._to_engine,
            Kind.weights_named: self._weights_named,
            Kind.config_changed: self._config_changed,
            Kind.key_revoked: self._key_revoked,
            Kind.zone_out: self._zone_out,
            Kind.engine_leaving: self.engine_faults.leaving,
            Kind.engine_busy: self.engine_faults.busy,
            Kind.engine_endless: self.engine_faults.endless,
            Kind.store_restored: self._store_restored,
            Kind.silence: self.engine_faults.silence,
            Kind.harmful_part: self._harmful_part,
            Kind.unframed: self.engine_faults.unframed,
            Kind.cut_event: self.engine_faults.cut_event,
            Kind.idle_limit: self._idle_limit,
            Kind.engine_in_need: self.engine_faults.in_need,
            Kind.odd_entry: self._odd_entry,
            Kind.crowd: self._crowd,
            Kind.host_paused: self.pause_faults.host_paused,
            Kind.naming_missed: self.pause_faults.naming_missed,
            Kind.staged_spoilt: spoilage_faults.staged_spoilt,
            Kind.configurations_missed: (
                configuration_faults.configurations_missed
            ),
        }

    async def inject(self, fault: Fault) -> None:
        """Start a fault, wait for its duration, and end it."""
        handler = self.handlers.get(fault.kind, self._signal)
        started_s = time.time()
        await handler(fault)
        self.observations.faults.append(
            Interval(fault.kind.name, started_s, time.time())
        )

    def _select_process(self, role: str, pick: float) -> str:
        names = [
            name for name in self.deployment.processes if name.startswith(role)
        ]
        return names[int(pick * len(names))]

    async def _signal(self, fault: Fault) -> None:
        role, signo = SIGNALS[fault.kind]
        name = self._select_process(role, fault.pick)
        managed = self.deployment.processes[name]
        started_s = time.time()
        previous = managed.process
        managed.send(signo)
        await asyncio.sleep(fault.for_s)
        if signo is signal.SIGSTOP:
            managed.send(signal.SIGCONT)
        elif signo in {signal.SIGKILL, signal.SIGTERM}:
            await managed.wait_for_restart(previous)
        self._record_disturbance(name, started_s)

    def _record_disturbance(self, name: str, started_s: float) -> None:
        if name.startswith('relay'):
            self.observations.disturbances.append(
                Interval(name, started_s, time.time())
            )

    async def _store_paused(self, fault: Fault) -> None:
        started_s = time.time()
        await self._signal(fault)
        self.observations.disturbances.append(
            Interval('', started_s, time.time())
        )

    async def _store_forgets(self, fault: Fault) -> None:
        started_s = time.time()
        await self.deployment.control({'forget': True})
        self.observations.disturbances.append(
            Interval('', started_s, time.time())
        )

    async def _store_restored(self, fault: Fault) -> None:
        started_s = time.time()
        await self.deployment.control({'save': True})
        await asyncio.sleep(fault.for_s)
        await self.deployment.restore_store()
        self.observations.disturbances.append(
            Interval('', started_s, time.time())
        )

    async def _harmful_part(self, fault: Fault) -> None:
        self.traffic.harmful_faults += 1
        await asyncio.sleep(fault.for_s + HARMFUL_EXTRA_S)
        self.traffic.harmful_faults -= 1

    async def _idle_limit(self, fault: Fault) -> None:
        limit_s = LOW_IDLE_LIMITS_S[int(fault.pick * len(LOW_IDLE_LIMITS_S))]
        self.low_limits_s.append(limit_s)
        await self._publish_idle_limit()
        await asyncio.sleep(fault.for_s + EXTRA_DURATION_S)
        self.low_limits_s.remove(limit_s)
        await self._publish_idle_limit()

    async def _publish_idle_limit(self) -> None:
        limit_s = min((*self.low_limits_s, IDLE_LIMIT_S))
        self.deployment.idle_limit_s = limit_s
        self.traffic.publish_limit(limit_s)
        await self._publish()

    async def _relay_to_store(self, fault: Fault) -> None:
        name = self._select_process('relay', fault.pick)
        started_s = time.time()
        await self._disturb_link(f'{name} to store', fault)
        self._record_disturbance(name, started_s)

    async def _to_engine(self, fault: Fault) -> None:
        await self._disturb_link(
            f'to {self.engine_faults.select(fault)}', fault
        )

    async def _disturb_link(self, link: str, fault: Fault) -> None:
        proxy = self.deployment.proxies[link]
        link_fault = LINK_FAULTS[
            int(fault.pick * LINK_FAULT_STEPS) % len(LINK_FAULTS)
        ]
        proxy.apply_fault(link_fault)
        await asyncio.sleep(fault.for_s)
        proxy.apply_fault(LinkFault.none)

    async def _weights_named(self, fault: Fault) -> None:
        self.version += 1
        version = self.version
        document = {'model': 'fitting', 'version': version}
        await self.deployment.control(
            {'put': 'op/version/fitting', 'document': document}
        )
        self.observations.targets_set_s[version] = time.time()

    async def _config_changed(self, fault: Fault) -> None:
        await self._publish()

    async def _key_revoked(self, fault: Fault) -> None:
        key = KEYS[int(fault.pick * len(KEYS))]
        if key in self.revoked:
            return
        self.revoked.add(key)
        await self._publish()
        started_s = time.time()
        await asyncio.sleep(fault.for_s + EXTRA_DURATION_S)
        self.observations.revocations.append(
            Interval(key, started_s, time.time())
        )
        self.revoked.remove(key)
        await self._publish()

    async def _publish(self, unused_routes: int = 0) -> None:
        """Publish a configuration without the keys that are revoked now."""
        valid = [key for key in KEYS if key not in self.revoked]
        await self.deployment.publish(valid, unused_routes)

    async def _odd_entry(self, fault: Fault) -> None:
        key, text = build_odd_entry(fault)
        await self.deployment.control({'put': key, 'raw': text})
        await asyncio.sleep(fault.for_s + EXTRA_DURATION_S)
        await self.deployment.control({'remove': key})

    async def _crowd(self, fault: Fault) -> None:
        name = self._select_process('relay', fault.pick)
        started_s = time.time()
        silent = await crowd_relay(self.deployment, name, fault.for_s)
        self.observations.silent_pages.extend(
            SilentPage(name, page, started_s, time.time()) for page in silent
        )

    async def _zone_out(self, fault: Fault) -> None:
        zone = ZONES[int(fault.pick * len(ZONES))]
        key = f'op/evacuate/{zone}'
        if key in self.deployment.written:
            return
        await self.deployment.control({'put': key, 'document': {}})
        started_s = time.time()
        await asyncio.sleep(fault.for_s + EXTRA_DURATION_S)
        self.observations.evacuations.append(
            Interval(zone, started_s, time.time())
        )
        await self.deployment.control({'remove': key})
