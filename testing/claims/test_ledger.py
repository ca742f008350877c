"""Tests of the claim protocol of one shard."""

import unittest
from typing import Any

from bramleylug.claims.actions import (
    Instant,
    ReadShard,
    Replay,
    Run,
    Settle,
    StoreRolledBack,
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
    assert len(actions) == 1, actions
    return actions[0]


def first(actions: list[Any]) -> Any:
    return actions[0]


def at(monotonic_s: float) -> Instant:
    return Instant(monotonic_s, EPOCH_S + monotonic_s)


class LedgerTestCase(unittest.TestCase):
    """Starts with the ledgers of two agents for an empty shard."""

    def setUp(self) -> None:
        self.ledger = ShardLedger('agent-1/1')
        self.other = ShardLedger('agent-2/1')

    def claim(self, token: int = 1) -> WriteShard:
        """Claim the key by the first agent and return its write."""
        write = only(
            self.ledger.request_claim(build_claim_request(token), at(0))
        )
        self.ledger.handle_write(Swapped(1), at(0))
        return write


class TestClaim(LedgerTestCase):
    """A key is claimed in the store before its request runs."""

    def test_new_key_is_written_before_it_runs(self) -> None:
        write = only(self.ledger.request_claim(build_claim_request(1), at(0)))

        self.assertEqual(write.expected_version, 0)
        self.assertIn(b'key-1', ShardDocument.from_bytes(write.content).claims)

    def test_stored_claim_lets_the_request_run(self) -> None:
        self.ledger.request_claim(build_claim_request(1), at(0))

        self.assertEqual(self.ledger.handle_write(Swapped(1), at(0)), [Run(1)])

    def test_claims_during_a_write_share_the_next_write(self) -> None:
        """Three claim requests need only one more write."""
        self.ledger.request_claim(build_claim_request(1), at(0))
        for token in (2, 3, 4):
            self.ledger.request_claim(
                build_claim_request(token, b'key-%d' % token), at(0)
            )
        self.ledger.handle_write(Swapped(1), at(0))

        write = only(self.ledger.advance(at(0.3)))

        self.assertEqual(len(ShardDocument.from_bytes(write.content).claims), 4)

    def test_result_is_delayed_to_share_a_write_with_claims(self) -> None:
        """Without a claim to write it is written after a second."""
        self.claim()

        actions = self.ledger.finish(b'key-1', CLAIM_STATE_RAN, b'x', at(0.3))

        self.assertEqual(actions, [])
        self.assertIsInstance(self.ledger.advance(at(1.4))[0], WriteShard)

    def test_other_request_under_the_same_key_is_a_conflict(self) -> None:
        """A key belongs to the first request that used it."""
        self.claim()

        settle = only(
            self.ledger.request_claim(
                build_claim_request(2, fingerprint=b'other'), at(1)
            )
        )

        self.assertEqual(settle.outcome.reason, Reason.key_conflict)

    def test_full_shard_refuses_new_keys(self) -> None:
        """Its value would exceed the size limit of the store."""
        large = build_claim(answer=b'x' * SHARD_LIMIT_BYTES)
        document = ShardDocument(1, {large.key: large})
        self.ledger.table.apply_document(document, at(0))

        settle = first(
            self.ledger.request_claim(build_claim_request(1, b'key-9'), at(0))
        )

        self.assertEqual(settle.outcome.reason, Reason.queue_full)


class TestResend(LedgerTestCase):
    """A resend never runs a second time."""

    def test_resend_gets_the_stored_answer(self) -> None:
        self.claim()
        self.ledger.finish(b'key-1', CLAIM_STATE_RAN, b'answer', at(1))

        settle = only(self.ledger.request_claim(build_claim_request(2), at(1)))

        self.assertEqual(settle, Settle(2, Replay(b'answer')))

    def test_resend_without_a_stored_answer_is_told_it_ran(self) -> None:
        self.claim()
        self.ledger.finish(b'key-1', CLAIM_STATE_RAN, b'', at(1))

        settle = only(self.ledger.request_claim(build_claim_request(2), at(1)))

        self.assertIsInstance(settle.outcome, Ran)

    def test_resend_waits_for_the_running_attempt(self) -> None:
        """It gets the same answer."""
        self.claim()
        self.ledger.request_claim(build_claim_request(2), at(1))

        actions = self.ledger.finish(b'key-1', CLAIM_STATE_RAN, b'a', at(1))

        self.assertEqual(actions, [Settle(2, Replay(b'a'))])

    def test_resend_to_another_agent_finds_the_claim(self) -> None:
        """The conflict returns the claim, and the resend waits for it."""
        write = self.claim()
        self.other.request_claim(build_claim_request(2), at(1))
        current = StoredValue(write.content, 1)

        actions = self.other.handle_write(Conflict(current), at(1))

        self.assertEqual(actions, [ReadShard()])

    def test_resend_to_another_agent_ends_as_unknown(self) -> None:
        """The claim of a holder that reports no result is not taken over."""
        write = self.claim()
        self.other.request_claim(build_claim_request(2, wait_until_s=60), at(1))
        self.other.handle_write(Conflict(StoredValue(write.content, 1)), at(1))

        settle = first(self.other.advance(at(3.1)))

        self.assertIsInstance(settle.outcome, Unknown)

    def test_new_incarnation_does_not_run_earlier_claims(self) -> None:
        """It answers unknown at once, as no result will follow."""
        write = self.claim()
        restarted = ShardLedger('agent-1/2')
        restarted.request_claim(build_claim_request(2), at(1))

        current = StoredValue(write.content, 1)
        settle = first(restarted.handle_write(Conflict(current), at(1)))

        self.assertIsInstance(settle.outcome, Unknown)

    def test_key_with_an_unknown_result_does_not_run_again(self) -> None:
        """The result is unknown when the upstream crashed."""
        self.claim()
        self.ledger.finish(b'key-1', CLAIM_STATE_UNKNOWN, b'', at(1))

        settle = only(self.ledger.request_claim(build_claim_request(2), at(1)))

        self.assertIsInstance(settle.outcome, Unknown)

    def test_result_is_kept_for_its_retention_period(self) -> None:
        """That is one hour, and the allowance for clock skew."""
        claim = build_claim(state=CLAIM_STATE_RAN, claimed_s=EPOCH_S)
        document = ShardDocument(1, {claim.key: claim})

        self.assertIn(claim.key, document.pruned(EPOCH_S + 3899).claims)
        self.assertNotIn(claim.key, document.pruned(EPOCH_S + 3901).claims)

    def test_claim_without_a_result_is_kept_for_a_day(self) -> None:
        """A paused holder may still run it after it resumes."""
        claim = build_claim(claimed_s=EPOCH_S)
        document = ShardDocument(1, {claim.key: claim})

        self.assertIn(claim.key, document.pruned(EPOCH_S + 80000).claims)


class TestStoreFailures(LedgerTestCase):
    """Lost answers and outages never lead to a false outcome."""

    def test_claim_whose_write_answer_was_lost_runs(self) -> None:
        """The repeated write conflicts and returns the own claim."""
        write = only(self.ledger.request_claim(build_claim_request(1), at(0)))
        self.ledger.handle_write(Uncertain('lost'), at(0))
        self.ledger.advance(at(0.1))

        actions = self.ledger.handle_write(
            Conflict(StoredValue(write.content, 1)), at(0.1)
        )

        self.assertEqual(actions, [Run(1)])

    def test_outage_refuses_waiting_claims(self) -> None:
        """The second consecutive failure ends the wait."""
        self.ledger.request_claim(build_claim_request(1), at(0))
        self.ledger.handle_write(Unavailable('down'), at(0))
        self.ledger.advance(at(0.1))

        settle = only(self.ledger.handle_write(Unavailable('down'), at(0.1)))

        self.assertEqual(settle.outcome.reason, Reason.store_unavailable)

    def test_known_outage_refuses_at_once(self) -> None:
        self.test_outage_refuses_waiting_claims()

        settle = only(
            self.ledger.request_claim(
                build_claim_request(2, b'key-2'), at(0.11)
            )
        )

        self.assertIsInstance(settle.outcome, NotRun)

    def test_resend_gets_the_stored_answer_during_an_outage(self) -> None:
        self.claim()
        self.ledger.finish(b'key-1', CLAIM_STATE_RAN, b'answer', at(1))
        self.ledger.handle_write(Unavailable('down'), at(2))
        self.ledger.handle_write(Unavailable('down'), at(2))

        settled = self.ledger.request_claim(build_claim_request(2), at(3))

        self.assertIn(Settle(2, Replay(b'answer')), settled)

    def test_abandoned_claim_is_removed_from_the_store(self) -> None:
        """Its write took effect after the request was refused."""
        write = only(self.ledger.request_claim(build_claim_request(1), at(0)))
        self.ledger.advance(at(2))
        self.ledger.handle_write(Uncertain('lost'), at(2))
        self.ledger.advance(at(2.1))
        stored = StoredValue(write.content, 1)

        removal = only(self.ledger.handle_write(Conflict(stored), at(2.1)))

        self.assertEqual(removal.expected_version, 1)
        self.assertFalse(ShardDocument.from_bytes(removal.content).claims)

    def test_uncertain_write_is_overwritten_after_giving_up(self) -> None:
        """A write of the same version stops the earlier one from applying."""
        self.ledger.request_claim(build_claim_request(1), at(0))
        self.ledger.handle_write(Uncertain('lost'), at(0))
        self.ledger.advance(at(0.1))
        self.ledger.handle_write(Uncertain('lost'), at(0.1))

        write = only(self.ledger.advance(at(0.5)))

        self.assertEqual(write.expected_version, 0)
        self.assertFalse(ShardDocument.from_bytes(write.content).claims)

    def test_rolled_back_shard_is_restored_and_closed(self) -> None:
        """Own claims are written again; no new key is claimed for 30 s."""
        self.claim()
        older = StoredValue(b'', 0)

        (rollback, write) = self.ledger.handle_read(older, at(20))

        document = ShardDocument.from_bytes(write.content)
        self.assertEqual(rollback, StoreRolledBack(0))
        self.assertIn(b'key-1', document.claims)
        self.assertEqual(document.closed_until_s, EPOCH_S + 50)

    def test_undecodable_shard_is_not_overwritten(self) -> None:
        """It may hold claims of other agents."""
        self.ledger.request_claim(build_claim_request(1), at(0))
        undecodable = Conflict(StoredValue(b'\xff', 7))
        self.ledger.handle_write(undecodable, at(0))
        write = first(self.ledger.advance(at(0.1)))

        self.assertEqual(write.expected_version, 0)

    def test_closed_shard_refuses(self) -> None:
        """Other agents may have claimed the key before the rollback."""
        self.test_rolled_back_shard_is_restored_and_closed()
        self.ledger.handle_write(Swapped(2), at(20))

        settle = first(
            self.ledger.request_claim(build_claim_request(2, b'key-2'), at(21))
        )

        self.assertIsInstance(settle.outcome, NotRun)
