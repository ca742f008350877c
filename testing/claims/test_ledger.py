"""Tests of the decisions on one shard of claims."""

import unittest
from typing import Any

from bramleylug.claims.actions import (
    Instant,
    ReadShard,
    Replay,
    Run,
    Settle,
    WentBack,
    WriteShard,
)
from bramleylug.claims.document import SHARD_LIMIT_BYTES, ShardDocument
from bramleylug.claims.ledger import ShardLedger
from bramleylug.outcomes import NotRun, Ran, Reason, Unknown
from bramleylug.store.store import (
    Conflict,
    StoredValue,
    Swapped,
    Unavailable,
    Uncertain,
)
from bramleylug.wire.claims_pb2 import CLAIM_STATE_RAN, CLAIM_STATE_UNKNOWN
from testing.builders import build_claim, build_claim_request

EPOCH_S = 1_000_000


def only(actions: list[Any]) -> Any:
    """Return the only action."""
    assert len(actions) == 1, actions
    return actions[0]


def first(actions: list[Any]) -> Any:
    """Return the first of several actions."""
    return actions[0]


def at(steady_s: float) -> Instant:
    """Return a moment by both clocks."""
    return Instant(steady_s, EPOCH_S + steady_s)


class LedgerTestCase(unittest.TestCase):
    """Starts with an empty shard and a second agent's view of it."""

    def setUp(self) -> None:
        """Create the ledgers of two agents."""
        self.ledger = ShardLedger('agent-1/1')
        self.other = ShardLedger('agent-2/1')

    def hold(self, token: int = 1) -> WriteShard:
        """Let the first agent hold the key and return its write."""
        write = only(self.ledger.ask(build_claim_request(token), at(0)))
        self.ledger.wrote(Swapped(1), at(0))
        return write


class TestClaim(LedgerTestCase):
    """A key is claimed before it runs."""

    def test_first_ask_is_written_and_not_run(self) -> None:
        """Nothing runs before the store has answered."""
        write = only(self.ledger.ask(build_claim_request(1), at(0)))

        self.assertEqual(write.expected_version, 0)
        self.assertIn(b'key-1', ShardDocument.from_bytes(write.content).claims)

    def test_claim_in_the_store_runs_once(self) -> None:
        """The answered write lets the request run."""
        self.ledger.ask(build_claim_request(1), at(0))

        self.assertEqual(self.ledger.wrote(Swapped(1), at(0)), [Run(1)])

    def test_asks_during_a_write_ride_on_the_next(self) -> None:
        """Three asks take one further write."""
        self.ledger.ask(build_claim_request(1), at(0))
        for token in (2, 3, 4):
            self.ledger.ask(
                build_claim_request(token, b'key-%d' % token), at(0)
            )
        self.ledger.wrote(Swapped(1), at(0))

        write = only(self.ledger.advance(at(0.3)))

        self.assertEqual(len(ShardDocument.from_bytes(write.content).claims), 4)

    def test_results_wait_to_ride_with_claims(self) -> None:
        """A result alone is not written at once."""
        self.hold()

        actions = self.ledger.finish(b'key-1', CLAIM_STATE_RAN, b'x', at(0.3))

        self.assertEqual(actions, [])
        self.assertIsInstance(self.ledger.advance(at(1.4))[0], WriteShard)

    def test_other_request_under_the_same_key_is_a_conflict(self) -> None:
        """The key stands for the first request only."""
        self.hold()

        settle = only(
            self.ledger.ask(build_claim_request(2, fingerprint=b'other'), at(1))
        )

        self.assertEqual(settle.verdict.reason, Reason.key_conflict)

    def test_full_shard_refuses_new_keys(self) -> None:
        """A value near the store's limit takes no more claims."""
        large = build_claim(answer=b'x' * SHARD_LIMIT_BYTES)
        document = ShardDocument(1, {large.key: large})
        self.ledger.book.adopt(document, at(0))

        settle = first(self.ledger.ask(build_claim_request(1, b'key-9'), at(0)))

        self.assertEqual(settle.verdict.reason, Reason.queue_full)


class TestResend(LedgerTestCase):
    """A resend never runs a second time."""

    def test_kept_answer_is_given(self) -> None:
        """A resend gets the answer of the only run."""
        self.hold()
        self.ledger.finish(b'key-1', CLAIM_STATE_RAN, b'answer', at(1))

        settle = only(self.ledger.ask(build_claim_request(2), at(1)))

        self.assertEqual(settle, Settle(2, Replay(b'answer')))

    def test_answer_that_was_not_kept_is_told_as_ran(self) -> None:
        """The caller learns that it ran."""
        self.hold()
        self.ledger.finish(b'key-1', CLAIM_STATE_RAN, b'', at(1))

        settle = only(self.ledger.ask(build_claim_request(2), at(1)))

        self.assertIsInstance(settle.verdict, Ran)

    def test_resend_while_running_gets_the_same_answer(self) -> None:
        """It waits for the running try."""
        self.hold()
        self.ledger.ask(build_claim_request(2), at(1))

        actions = self.ledger.finish(b'key-1', CLAIM_STATE_RAN, b'a', at(1))

        self.assertEqual(actions, [Settle(2, Replay(b'a'))])

    def test_resend_to_another_agent_meets_the_claim(self) -> None:
        """The conflict shows the claim, and the resend waits."""
        write = self.hold()
        self.other.ask(build_claim_request(2), at(1))
        current = StoredValue(write.content, 1)

        actions = self.other.wrote(Conflict(current), at(1))

        self.assertEqual(actions, [ReadShard()])

    def test_other_agent_tells_unknown_after_a_while(self) -> None:
        """A holder that reports nothing is not replaced."""
        write = self.hold()
        self.other.ask(build_claim_request(2, give_up_s=60), at(1))
        self.other.wrote(Conflict(StoredValue(write.content, 1)), at(1))

        settle = first(self.other.advance(at(3.1)))

        self.assertIsInstance(settle.verdict, Unknown)

    def test_replaced_agent_never_runs_what_its_forerunner_claimed(
        self,
    ) -> None:
        """A new incarnation under the old name tells unknown at once."""
        write = self.hold()
        replaced = ShardLedger('agent-1/2')
        replaced.ask(build_claim_request(2), at(1))

        current = StoredValue(write.content, 1)
        settle = first(replaced.wrote(Conflict(current), at(1)))

        self.assertIsInstance(settle.verdict, Unknown)

    def test_unknown_result_is_never_run_again(self) -> None:
        """An upstream that died leaves an unknown result."""
        self.hold()
        self.ledger.finish(b'key-1', CLAIM_STATE_UNKNOWN, b'', at(1))

        settle = only(self.ledger.ask(build_claim_request(2), at(1)))

        self.assertIsInstance(settle.verdict, Unknown)

    def test_result_outlives_the_stated_time(self) -> None:
        """Pruning leaves a result for an hour and the clocks' skew."""
        claim = build_claim(state=CLAIM_STATE_RAN, claimed_s=EPOCH_S)
        document = ShardDocument(1, {claim.key: claim})

        self.assertIn(claim.key, document.pruned(EPOCH_S + 3899).claims)
        self.assertNotIn(claim.key, document.pruned(EPOCH_S + 3901).claims)

    def test_claim_without_result_is_kept_a_day(self) -> None:
        """A paused holder may still run it when it wakes up."""
        claim = build_claim(claimed_s=EPOCH_S)
        document = ShardDocument(1, {claim.key: claim})

        self.assertIn(claim.key, document.pruned(EPOCH_S + 80000).claims)


class TestStoreFaults(LedgerTestCase):
    """Lost answers and outages leave no untrue word."""

    def test_lost_answer_of_a_claim_that_landed(self) -> None:
        """Writing again shows the own claim, which then runs."""
        write = only(self.ledger.ask(build_claim_request(1), at(0)))
        self.ledger.wrote(Uncertain('lost'), at(0))
        self.ledger.advance(at(0.1))

        actions = self.ledger.wrote(
            Conflict(StoredValue(write.content, 1)), at(0.1)
        )

        self.assertEqual(actions, [Run(1)])

    def test_outage_refuses_before_any_run(self) -> None:
        """The second failure ends the wait with a true refusal."""
        self.ledger.ask(build_claim_request(1), at(0))
        self.ledger.wrote(Unavailable('down'), at(0))
        self.ledger.advance(at(0.1))

        settle = only(self.ledger.wrote(Unavailable('down'), at(0.1)))

        self.assertEqual(settle.verdict.reason, Reason.store_unavailable)

    def test_known_outage_refuses_at_once(self) -> None:
        """No caller waits for a store that is known to be down."""
        self.test_outage_refuses_before_any_run()

        settle = only(
            self.ledger.ask(build_claim_request(2, b'key-2'), at(0.11))
        )

        self.assertIsInstance(settle.verdict, NotRun)

    def test_kept_answer_is_given_during_an_outage(self) -> None:
        """What was seen is still told."""
        self.hold()
        self.ledger.finish(b'key-1', CLAIM_STATE_RAN, b'answer', at(1))
        self.ledger.wrote(Unavailable('down'), at(2))
        self.ledger.wrote(Unavailable('down'), at(2))

        settled = self.ledger.ask(build_claim_request(2), at(3))

        self.assertIn(Settle(2, Replay(b'answer')), settled)

    def test_given_up_claim_that_landed_is_taken_out(self) -> None:
        """A refused request's claim does not stay behind."""
        write = only(self.ledger.ask(build_claim_request(1), at(0)))
        self.ledger.advance(at(2))
        self.ledger.wrote(Uncertain('lost'), at(2))
        self.ledger.advance(at(2.1))
        landed = StoredValue(write.content, 1)

        removal = only(self.ledger.wrote(Conflict(landed), at(2.1)))

        self.assertEqual(removal.expected_version, 1)
        self.assertFalse(ShardDocument.from_bytes(removal.content).claims)

    def test_given_up_claim_is_settled_by_a_write(self) -> None:
        """A write that may still land is overtaken, not forgotten."""
        self.ledger.ask(build_claim_request(1), at(0))
        self.ledger.wrote(Uncertain('lost'), at(0))
        self.ledger.advance(at(0.1))
        self.ledger.wrote(Uncertain('lost'), at(0.1))

        write = only(self.ledger.advance(at(0.5)))

        self.assertEqual(write.expected_version, 0)
        self.assertFalse(ShardDocument.from_bytes(write.content).claims)

    def test_store_that_went_back_is_refilled_and_closed(self) -> None:
        """The own claims return, and no key is claimed for a while."""
        self.hold()
        older = StoredValue(b'', 0)

        (went_back, write) = self.ledger.read(older, at(20))

        document = ShardDocument.from_bytes(write.content)
        self.assertEqual(went_back, WentBack(0))
        self.assertIn(b'key-1', document.claims)
        self.assertEqual(document.closed_until_s, EPOCH_S + 50)

    def test_unreadable_shard_is_not_overwritten(self) -> None:
        """What it said of its keys is not known."""
        self.ledger.ask(build_claim_request(1), at(0))
        unreadable = Conflict(StoredValue(b'\xff', 7))
        self.ledger.wrote(unreadable, at(0))
        write = first(self.ledger.advance(at(0.1)))

        self.assertEqual(write.expected_version, 0)

    def test_closed_shard_refuses(self) -> None:
        """Keys that others may have claimed before are not run."""
        self.test_store_that_went_back_is_refilled_and_closed()
        self.ledger.wrote(Swapped(2), at(20))

        settle = first(
            self.ledger.ask(build_claim_request(2, b'key-2'), at(21))
        )

        self.assertIsInstance(settle.verdict, NotRun)
