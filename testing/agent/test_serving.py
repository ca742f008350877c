"""Tests of one agent's way from a request to its answer."""

import unittest
from threading import Thread
from typing import Any

from bramleylug.admission.controller import AdmissionController
from bramleylug.admission.limiter import Limiter
from bramleylug.admission.suspects import LocalSuspects
from bramleylug.agent.crash_detector import CrashDetector
from bramleylug.agent.request_runner import RequestRunner
from bramleylug.agent.serving import Serving
from bramleylug.agent.upstream import Upstream
from bramleylug.agent.weights_gate import WeightsGate
from bramleylug.claims.service import ClaimService
from bramleylug.wire.requests_pb2 import TicketRequest
from testing.agent.canned import HEAD, CannedUpstream
from testing.builders import build_document, build_request, build_spec
from testing.claims.memory import MemoryStore

BOOKED = HEAD + b'Content-Length: 6\r\n\r\nbooked'


class Context:
    """What the agent sees of a gRPC call."""

    def __init__(self) -> None:
        self.callbacks: list[Any] = []

    def add_callback(self, callback: Any) -> bool:
        """Keep what is called at the end of the call."""
        self.callbacks.append(callback)
        return True

    def is_active(self) -> bool:
        """Tell that the caller waits."""
        return True


class ServingTestCase(unittest.TestCase):
    """Two agents of a booking service that share a store."""

    answer = BOOKED

    def setUp(self) -> None:
        """Start both agents before one upstream."""
        self.store = MemoryStore()
        self.canned = CannedUpstream(self.answer)
        self.addCleanup(self.canned.close)
        self.suspects = LocalSuspects()
        self.agents = [
            self.start_agent(f'agent-{number}/1') for number in (1, 2)
        ]

    def start_agent(self, holder: str) -> Serving:
        """Start an agent."""
        spec = build_spec('bookings', kind='plain', idempotent=False)
        document = build_document(spec)
        limiter = Limiter()
        limiter.observe_boot('boot-1')
        gate = WeightsGate('zone-a', 'bookings')
        gate.open('boot-1', '')
        claims = ClaimService(self.store, holder)
        thread = Thread(target=claims.run)
        thread.start()
        self.addCleanup(thread.join)
        self.addCleanup(claims.stop)
        upstream = Upstream(self.canned.address)
        runner = RequestRunner(
            gate,
            limiter,
            upstream,
            claims,
            CrashDetector(upstream, self.suspects, holder),
            lambda: document,
        )
        admission = AdmissionController(limiter, 16)
        return Serving(runner, admission, lambda: document)

    def ask(self, agent: int, **fields: Any) -> list[Any]:
        """Send a booking to one agent and return its replies."""
        request = build_request(**fields)
        return list(self.agents[agent].Dispatch(request, Context()))


class TestBooking(ServingTestCase):
    """A key runs once, whoever is asked."""

    def test_resend_gets_the_kept_answer(self) -> None:
        """The same agent gives the same bytes, marked as a replay."""
        self.ask(0)
        connections = self.canned.connections

        replies = self.ask(0)

        self.assertEqual(replies[1].piece, b'booked')
        self.assertEqual(self.canned.connections, connections)

    def test_resend_to_another_agent_gets_the_kept_answer(self) -> None:
        """The answer is kept in the store."""
        self.ask(0)
        connections = self.canned.connections

        replies = self.ask(1)

        self.assertEqual(replies[1].piece, b'booked')
        self.assertEqual(self.canned.connections, connections)

    def test_key_of_another_workspace_is_another_key(self) -> None:
        """Nobody gets an answer of somebody else."""
        self.ask(0, workspace='garage-1')
        connections = self.canned.connections

        self.ask(0, workspace='garage-2')

        self.assertEqual(self.canned.connections, connections + 1)

    def test_store_down_refuses_before_the_run(self) -> None:
        """Nothing was sent, and it says so."""
        self.store.down = True

        replies = self.ask(0)

        self.assertEqual(replies[0].refusal.reason, 'store_unavailable')
        self.assertEqual(self.canned.connections, 0)

    def test_run_ends_though_the_caller_has_gone(self) -> None:
        """Its resend gets the answer."""
        request = build_request()
        replies = self.agents[0].Dispatch(request, Context())
        next(replies)
        replies.close()

        self.assertEqual(self.ask(0)[1].piece, b'booked')

    def test_end_tells_the_bytes_of_the_body(self) -> None:
        """An entry may check that it has all."""
        self.assertEqual(self.ask(0)[-1].end.body_bytes, 6)

    def test_load_rides_on_first_and_last_reply(self) -> None:
        """The entry learns how busy the upstream is."""
        replies = self.ask(0)

        self.assertEqual(replies[0].load.running, 1)
        self.assertTrue(replies[-1].HasField('load'))


class TestCrash(ServingTestCase):
    """A request that kills each upstream that runs it."""

    answer = b''

    def test_third_run_is_refused(self) -> None:
        """It ran twice, without a key and with nothing to tell them apart."""
        self.ask(0, idempotency_key='')
        self.ask(1, idempotency_key='')
        connections = self.canned.connections

        replies = self.ask(0, idempotency_key='')

        self.assertEqual(replies[0].refusal.reason, 'crash_suspect')
        self.assertEqual(self.canned.connections, connections)


class TestTicket(ServingTestCase):
    """Bookings go on while the store is down."""

    def test_ticket_runs_once_without_the_store(self) -> None:
        """The resend gets the kept answer."""
        self.store.down = True
        wanted = TicketRequest(service='bookings')
        ticket = self.agents[0].IssueTicket(wanted, Context()).ticket

        replies = [self.ask(0, idempotency_key=ticket) for _ in range(2)]

        self.assertEqual([reply[1].piece for reply in replies], [b'booked'] * 2)
        self.assertEqual(self.canned.connections, 1)

    def test_other_agent_runs_no_ticket(self) -> None:
        """Only the one that issued it knows."""
        wanted = TicketRequest(service='bookings')
        ticket = self.agents[0].IssueTicket(wanted, Context()).ticket

        replies = self.ask(1, idempotency_key=ticket)

        self.assertEqual(replies[0].broken.reason, 'ticket_void')
        self.assertEqual(self.canned.connections, 0)
