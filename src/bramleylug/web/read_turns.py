"""Divides the turns of an event loop among the connections that are read.

A peer that sends many small pieces would otherwise keep the loop busy for as
long as any of its bytes wait, while all other connections wait for a turn.
"""

import asyncio
from collections import deque
from typing import final

# Pieces that a connection may read at once, and a second, without a grant.
BURST_PIECES = 64
REFILL_PIECES_PER_S = 200.0
# Received bytes that count as one more piece.
PIECE_BYTES = 65536
# Pieces that all connections together read in one turn of the loop.
TURN_PIECES = 256
# Of these, what connections that had to wait for a turn get first.
PROMPT_GRANT = 16
PROMPT_GRANTS = 8
# A connection that reads more than its allowance gets a slice now and then.
SLICE_PIECES = 64
# When this few are left, the next turn of the loop starts anew.
LOW_PIECES = 64
# The loop is left to the others, and the interpreter to other threads, for
# several times as long as a slice takes.
REST_S = 0.004


@final
class ReadAllowance:
    """What one connection may read without waiting for its turn.

    :ivar left: pieces left; negative after many bytes at once.
    :ivar granted: pieces of a turn that were reserved for it.
    :ivar refilled_s: when ``left`` was computed.
    """

    __slots__ = ('granted', 'left', 'refilled_s')

    def __init__(self, now_s: float) -> None:
        self.left = float(BURST_PIECES)
        self.granted = 0
        self.refilled_s = now_s

    def refill(self, now_s: float) -> None:
        """Add what the time since the last call allows."""
        added = (now_s - self.refilled_s) * REFILL_PIECES_PER_S
        self.left = min(BURST_PIECES, self.left + added)
        self.refilled_s = now_s

    def grant(self, pieces: int) -> None:
        """Reserve pieces of a turn."""
        self.granted = pieces


@final
class ReadTurns:
    """Grants the pieces that the connections of one loop read.

    Connections within their allowance go first: they wait only when a turn is
    full. Those that exceed it get slices, one connection after the other, with
    a rest of the loop in between.

    :ivar left: pieces left, at least for this turn.
    :ivar prompt: connections that wait for the next turn.
    :ivar bulk: connections that wait for a slice.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.left = TURN_PIECES
        self.prompt: deque[Waiter] = deque()
        self.bulk: deque[Waiter] = deque()
        self.scheduled = False
        self.resting = False

    def allowance(self) -> ReadAllowance:
        """Return the allowance of a new connection."""
        return ReadAllowance(self.loop.time())

    def try_take(self, allowance: ReadAllowance) -> bool:
        """Take one piece; return whether it may be read now."""
        if allowance.granted:
            allowance.granted -= 1
            return True
        if allowance.left < 1:
            allowance.refill(self.loop.time())
        if allowance.left < 1 or self.left < 1:
            return False
        allowance.left -= 1
        self.left -= 1
        if self.left < LOW_PIECES:
            self._schedule()
        return True

    async def take(self, allowance: ReadAllowance) -> None:
        """Wait until a piece may be read, and take it."""
        while not self.try_take(allowance):
            queue = self.bulk if allowance.left < 1 else self.prompt
            waiter = Waiter(allowance, self.loop.create_future())
            queue.append(waiter)
            self._schedule()
            await waiter.granted

    def charge_bytes(self, allowance: ReadAllowance, count: int) -> None:
        """Count received bytes, which are copied and searched."""
        if count >= PIECE_BYTES:
            pieces = count // PIECE_BYTES
            allowance.left = max(-BURST_PIECES, allowance.left - pieces)
            self.left -= pieces
            self._schedule()

    def _schedule(self) -> None:
        if not self.scheduled:
            self.scheduled = True
            self.loop.call_soon(self._begin_turn)

    def _begin_turn(self) -> None:
        self.scheduled = False
        self.left = TURN_PIECES
        for _ in range(PROMPT_GRANTS):
            allowance = _wake_next(self.prompt, PROMPT_GRANT)
            if allowance is None:
                break
            allowance.left -= PROMPT_GRANT
            self.left -= PROMPT_GRANT
        if self.prompt:
            self._schedule()
        elif self.bulk and not self.resting:
            self.resting = True
            self.loop.call_later(REST_S, self._grant_slice)

    def _grant_slice(self) -> None:
        self.resting = False
        if _wake_next(self.bulk, SLICE_PIECES) is not None:
            # Runs after the slice, so that the rest begins when it has ended.
            self._schedule()


@final
class Waiter:
    """A connection that waits for its turn.

    :ivar granted: set when it may read.
    """

    __slots__ = ('allowance', 'granted')

    def __init__(
        self, allowance: ReadAllowance, granted: asyncio.Future[None]
    ) -> None:
        self.allowance = allowance
        self.granted = granted


def _wake_next(queue: deque[Waiter], pieces: int) -> ReadAllowance | None:
    """Grant pieces to the first that still waits; return its allowance."""
    while queue:
        waiter = queue.popleft()
        if not waiter.granted.done():
            waiter.allowance.grant(pieces)
            waiter.granted.set_result(None)
            return waiter.allowance
    return None


# Turns of each event loop that is open.
_TURNS: dict[asyncio.AbstractEventLoop, ReadTurns] = {}


def running_turns() -> ReadTurns:
    """Return the turns of the running event loop."""
    loop = asyncio.get_running_loop()
    turns = _TURNS.get(loop)
    if turns is None:
        _forget_closed_loops()
        turns = ReadTurns(loop)
        _TURNS[loop] = turns
    return turns


def _forget_closed_loops() -> None:
    closed = tuple(loop for loop in _TURNS if loop.is_closed())
    for loop in closed:
        _TURNS.pop(loop)
