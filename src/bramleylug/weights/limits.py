"""Time limits of a transfer, and the number of fetches it runs at once."""

from typing import NamedTuple


class TransferLimits(NamedTuple):
    """Limits of one transfer; times are in seconds.

    The defaults suit transfers that take from half a minute to minutes.

    :ivar first_exchange_s: longest wait for the holdings of neighbours before
        the origin is read.
    :ivar exchange_interval_max_s: longest pause between two exchanges of
        holdings with one peer.
    :ivar take_over_s: a chunk's next home takes over when the first has
        made no progress for this long.
    :ivar region_take_over_s: a region reads the origin itself when the lead
        region's homes have made no progress for this long.
    :ivar window_s: interval at which one more window of chunks opens to
        their homes.
    :ivar stall_s: a fetch without progress for this long is cancelled.
    :ivar slow_read_s: a read of the origin that takes longer is cancelled
        when a peer of the region holds the chunk.
    :ivar origin_backoff_s: first pause after a failed read of the origin.
    :ivar origin_backoff_max_s: longest such pause; each failure doubles it.
    :ivar peer_backoff_s: first pause after a peer did not answer.
    :ivar peer_backoff_max_s: longest such pause; each failure doubles it.
    :ivar probe_s: a read that began while the origin was away ends when no
        byte has arrived for this long; ``None`` for :attr:`stall_s`.
    :ivar silent_s: a host that has not told its holdings of the version for
        this long is taken not to know of it, and is no home of any chunk;
        ``None`` to count every host.
    :ivar parallel_fetches: fetches that run at once.
    :ivar open_chunks: chunks that the homes of all hosts together may be
        fetching at once; ``None`` for no limit.
    """

    first_exchange_s: float = 1.0
    exchange_interval_max_s: float = 2.0
    take_over_s: float = 4.0
    region_take_over_s: float = 10.0
    window_s: float = 1.0
    stall_s: float = 5.0
    slow_read_s: float = 10.0
    origin_backoff_s: float = 0.5
    origin_backoff_max_s: float = 10.0
    peer_backoff_s: float = 1.0
    peer_backoff_max_s: float = 30.0
    probe_s: float | None = None
    silent_s: float | None = None
    parallel_fetches: int = 4
    open_chunks: int | None = None


DEFAULT_LIMITS = TransferLimits()
