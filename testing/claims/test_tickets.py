"""Tests of tickets and their registry."""

import unittest

from bramleylug.claims.actions import Replay
from bramleylug.claims.tickets import Redeemed, TicketRegistry, parse_ticket
from bramleylug.outcomes import NotRun, Reason, Unknown
from bramleylug.wire.claims_pb2 import CLAIM_STATE_RAN
from bramleylug.wire.requests_pb2 import Request
from testing.builders import build_request


class TestTicket(unittest.TestCase):
    """Only the process that issued a ticket runs it, at most once."""

    def setUp(self) -> None:
        self.registry = TicketRegistry('agent~1')
        self.request = build_request(idempotency_key=self.registry.issue(0))

    def run_once(self) -> None:
        """Run the ticket and store its answer."""
        redeemed = self.registry.redeem(self.request, 1)
        self.registry.finish(redeemed.nonce, CLAIM_STATE_RAN, b'answer')

    def test_ticket_names_its_agent(self) -> None:
        """Entries route by it; the name may contain the separator."""
        ticket = parse_ticket(self.request.idempotency_key)

        self.assertEqual(ticket.agent, 'agent~1')

    def test_first_use_may_run(self) -> None:
        self.assertIsInstance(self.registry.redeem(self.request, 1), Redeemed)

    def test_resend_gets_the_stored_answer(self) -> None:
        self.run_once()

        self.assertEqual(
            self.registry.redeem(self.request, 2), Replay(b'answer')
        )

    def test_resend_while_it_runs_is_unknown(self) -> None:
        """The first attempt has not reported a result yet."""
        self.registry.redeem(self.request, 1)

        self.assertIsInstance(self.registry.redeem(self.request, 1), Unknown)

    def test_other_request_under_the_ticket_is_a_conflict(self) -> None:
        self.run_once()
        other = Request()
        other.CopyFrom(self.request)
        other.body = b'other'

        refusal = self.registry.redeem(other, 2)

        self.assertEqual(refusal.reason, Reason.key_conflict)

    def test_restarted_agent_does_not_run_earlier_tickets(self) -> None:
        """It does not know which tickets have run."""
        restarted = TicketRegistry('agent~1')

        self.assertIsInstance(restarted.redeem(self.request, 1), Unknown)

    def test_released_ticket_may_be_used_again(self) -> None:
        """Its first attempt did not reach the upstream."""
        self.registry.release(self.registry.redeem(self.request, 1).nonce)

        self.assertIsInstance(self.registry.redeem(self.request, 2), Redeemed)

    def test_expired_unused_ticket_is_not_run(self) -> None:
        """Uses are recorded for longer than a ticket is valid."""
        self.assertIsInstance(self.registry.redeem(self.request, 700), NotRun)

    def test_ticket_past_retention_is_unknown(self) -> None:
        """Its use may have been recorded and dropped since."""
        self.run_once()

        self.assertIsInstance(self.registry.redeem(self.request, 9000), Unknown)
