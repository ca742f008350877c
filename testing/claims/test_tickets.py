"""Tests of tickets."""

import unittest

from bramleylug.claims.actions import Replay
from bramleylug.claims.tickets import Redeemed, TicketBook, read_ticket
from bramleylug.outcomes import NotRun, Reason, Unknown
from bramleylug.wire.claims_pb2 import CLAIM_STATE_RAN
from bramleylug.wire.requests_pb2 import Request
from testing.builders import build_request


class TestTicket(unittest.TestCase):
    """One process issues a ticket, and it alone runs it, once."""

    def setUp(self) -> None:
        """Issue one ticket."""
        self.book = TicketBook('agent~1')
        self.request = build_request(idempotency_key=self.book.issue(0))

    def run_once(self) -> None:
        """Run the ticket and keep its answer."""
        redeemed = self.book.redeem(self.request, 1)
        self.book.finish(redeemed.nonce, CLAIM_STATE_RAN, b'answer')

    def test_ticket_names_its_agent(self) -> None:
        """An entry reads from it where to go."""
        ticket = read_ticket(self.request.idempotency_key)

        self.assertEqual(ticket.agent, 'agent~1')

    def test_first_use_runs(self) -> None:
        """It needs no store."""
        self.assertIsInstance(self.book.redeem(self.request, 1), Redeemed)

    def test_resend_gets_the_kept_answer(self) -> None:
        """It does not run again."""
        self.run_once()

        self.assertEqual(self.book.redeem(self.request, 2), Replay(b'answer'))

    def test_resend_while_it_runs_is_unknown(self) -> None:
        """Whether it will have run is not known yet."""
        self.book.redeem(self.request, 1)

        self.assertIsInstance(self.book.redeem(self.request, 1), Unknown)

    def test_other_request_under_the_ticket_is_a_conflict(self) -> None:
        """It stands for the first request."""
        self.run_once()
        other = Request()
        other.CopyFrom(self.request)
        other.body = b'other'

        refusal = self.book.redeem(other, 2)

        self.assertEqual(refusal.reason, Reason.key_conflict)

    def test_replaced_agent_runs_no_ticket_of_its_forerunner(self) -> None:
        """It cannot know what ran."""
        replaced = TicketBook('agent~1')

        self.assertIsInstance(replaced.redeem(self.request, 1), Unknown)

    def test_released_ticket_may_be_used(self) -> None:
        """Its first try did not reach the upstream."""
        self.book.release(self.book.redeem(self.request, 1).nonce)

        self.assertIsInstance(self.book.redeem(self.request, 2), Redeemed)

    def test_unused_ticket_ends_not_run(self) -> None:
        """Uses are remembered longer than tickets are valid."""
        self.assertIsInstance(self.book.redeem(self.request, 700), NotRun)

    def test_forgotten_ticket_never_runs(self) -> None:
        """Whether it was used can no longer be told."""
        self.run_once()

        self.assertIsInstance(self.book.redeem(self.request, 9000), Unknown)
