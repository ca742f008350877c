"""Tests of an agent's handling of a request, from dispatch to reply."""

import unittest
from threading import Thread
from typing import Any
from unittest.mock import patch

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
from testing.agent.canned_upstream import HEAD, CannedUpstream
from testing.builders import build_document, build_request, build_spec
from testing.claims.memory import MemoryStore

BOOKED = HEAD + b'Content-Length: 6\r\n\r\nbooked'


class GrpcContext:
    """Fake context of a gRPC call."""

    def __init__(self) -> None:
        self.callbacks: list[Any] = []

    def add_callback(self, callback: Any) -> bool:
        """Record a callback for the end of the call."""
        self.callbacks.append(callback)
        return True

    def is_active(self) -> bool:
        """Return that the caller is still connected."""
        return True


class SwappingContext(GrpcContext):
    """Fake context; its host swaps weights once the gate has been checked."""

    def __init__(self, gate: WeightsGate) -> None:
        super().__init__()
        self.gate = gate

    def is_active(self) -> bool:
        """Open the gate for other weights first."""
        self.gate.open('boot-1', 'd2')
        return True


class ServingTestCase(unittest.TestCase):
    """Two agents of a booking service that share a store."""

    answer = BOOKED

    def setUp(self) -> None:
        """Start two agents of one upstream."""
        self.store = MemoryStore()
        self.canned = CannedUpstream(self.answer)
        self.addCleanup(self.canned.close)
        self.suspects = LocalSuspects()
        self.agents = [
            self.start_agent(f'agent-{number}/1') for number in (1, 2)
        ]

    def start_agent(self, holder: str, kind: str = 'plain') -> Serving:
        spec = build_spec('bookings', kind=kind, idempotent=False)
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

    def send(self, agent: int, **fields: Any) -> list[Any]:
        """Send a booking to one agent and return its replies."""
        request = build_request(**fields)
        return list(self.agents[agent].Dispatch(request, GrpcContext()))


class TestBooking(ServingTestCase):
    """A request with a key runs once, on whichever agent."""

    def test_resend_gets_the_kept_answer(self) -> None:
        """The same agent returns the same bytes without running it again."""
        self.send(0)
        connections = self.canned.connections

        replies = self.send(0)

        self.assertEqual(replies[1].piece, b'booked')
        self.assertEqual(self.canned.connections, connections)

    def test_resend_to_another_agent_gets_the_kept_answer(self) -> None:
        """The answer is kept in the store."""
        self.send(0)
        connections = self.canned.connections

        replies = self.send(1)

        self.assertEqual(replies[1].piece, b'booked')
        self.assertEqual(self.canned.connections, connections)

    def test_same_key_in_another_workspace_is_another_request(self) -> None:
        """No workspace gets the answer of another."""
        self.send(0, workspace='garage-1')
        connections = self.canned.connections

        self.send(0, workspace='garage-2')

        self.assertEqual(self.canned.connections, connections + 1)

    def test_store_down_refuses_before_the_run(self) -> None:
        """The refusal says that nothing was sent."""
        self.store.down = True

        replies = self.send(0)

        self.assertEqual(replies[0].refusal.reason, 'store_unavailable')
        self.assertEqual(self.canned.connections, 0)

    def test_run_completes_although_the_caller_disconnected(self) -> None:
        """The resend gets the kept answer."""
        request = build_request()
        replies = self.agents[0].Dispatch(request, GrpcContext())
        next(replies)
        replies.close()

        self.assertEqual(self.send(0)[1].piece, b'booked')

    def test_end_contains_the_size_of_the_body(self) -> None:
        """The entry can check that it received all of it."""
        self.assertEqual(self.send(0)[-1].end.body_bytes, 6)

    def test_first_and_last_reply_contain_the_load(self) -> None:
        """The entry uses it to choose among agents."""
        replies = self.send(0)

        self.assertEqual(replies[0].load.running, 1)
        self.assertTrue(replies[-1].HasField('load'))


class TestPinnedWeights(ServingTestCase):
    """A stream goes on with the weights that began it."""

    answer = HEAD + b'X-Weights-Digest: d2\r\nContent-Length: 1\r\n\r\n2'

    def test_swap_after_the_check_mixes_no_weights(self) -> None:
        """Guards against an answer of weights the gate opened for later."""
        agent = self.start_agent('agent-3/1', kind='model')
        agent.runner.gate.open('boot-1', 'd1')
        request = build_request(idempotency_key='', pinned_digest='d1')
        context = SwappingContext(agent.runner.gate)

        replies = list(agent.Dispatch(request, context))

        self.assertEqual(
            [reply.broken.reason for reply in replies], ['weights_incomplete']
        )


class TestRestart(ServingTestCase):
    """The upstream restarts while a request waits for its claim."""

    def test_permit_of_an_earlier_boot_sends_nothing(self) -> None:
        """Guards against more than a just-started upstream bears."""
        runner = self.agents[0].runner
        write = self.store.compare_and_swap

        def restart_and_write(*call: Any, **options: Any) -> Any:
            runner.limiter.observe_boot('boot-2')
            runner.gate.open('boot-2', '')
            return write(*call, **options)

        with patch.object(self.store, 'compare_and_swap', restart_and_write):
            replies = self.send(0)

        self.assertEqual(replies[0].refusal.reason, 'overloaded')
        self.assertEqual(self.canned.connections, 0)


class TestCrash(ServingTestCase):
    """A request that crashes each upstream that runs it."""

    answer = b''

    def test_third_run_is_refused(self) -> None:
        """The same request without a key crashed two upstreams before."""
        self.send(0, idempotency_key='')
        self.send(1, idempotency_key='')
        connections = self.canned.connections

        replies = self.send(0, idempotency_key='')

        self.assertEqual(replies[0].refusal.reason, 'crash_suspect')
        self.assertEqual(self.canned.connections, connections)


class TestTicket(ServingTestCase):
    """With a ticket, bookings run while the store is down."""

    def test_ticket_runs_once_without_the_store(self) -> None:
        """The resend gets the kept answer."""
        self.store.down = True
        ticket_request = TicketRequest(service='bookings')
        ticket = (
            self.agents[0].IssueTicket(ticket_request, GrpcContext()).ticket
        )

        replies = [self.send(0, idempotency_key=ticket) for _ in range(2)]

        self.assertEqual([reply[1].piece for reply in replies], [b'booked'] * 2)
        self.assertEqual(self.canned.connections, 1)

    def test_ticket_of_another_agent_is_void(self) -> None:
        """Only the agent that issued it knows whether it ran."""
        ticket_request = TicketRequest(service='bookings')
        ticket = (
            self.agents[0].IssueTicket(ticket_request, GrpcContext()).ticket
        )

        replies = self.send(1, idempotency_key=ticket)

        self.assertEqual(replies[0].broken.reason, 'ticket_void')
        self.assertEqual(self.canned.connections, 0)
