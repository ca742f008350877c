"""Tests of the troubles that a fake engine shows on its sockets."""

import socket
import time
import unittest
from concurrent.futures import ThreadPoolExecutor
from typing import Any, NamedTuple

from bramleylug.fakes.model_engine import FakeModelEngine, ModelEngineSettings

READ_TIMEOUT_S = 5.0
LAST_CHUNK = b'0\r\n\r\n'
SOUND = {'X-Prompt-Prefix': 'shared:800,bad:20'}
HARMFUL = {'X-Prompt-Prefix': 'shared:800,bad:20,own:5'}


class Received(NamedTuple):
    """Bytes that a caller received.

    :ivar reset: whether a reset ended them.
    :ivar longest_gap_s: longest time between two reads.
    """

    raw: bytes
    reset: bool
    longest_gap_s: float


class TestTrouble(unittest.TestCase):
    """Each trouble looks as that of a real engine does."""

    def build_engine(self, **fields: Any) -> FakeModelEngine:
        """Return a running engine that registers nowhere."""
        defaults = {
            'engine_id': 'e-1',
            'service': 'advisor',
            'zone': 'zone-a',
            'store': '127.0.0.1:1',
            'model': 'fitting',
            'version': 1,
            'harmful_part': 'bad',
        }
        engine = FakeModelEngine(ModelEngineSettings(**{**defaults, **fields}))
        engine.loop.start()
        self.addCleanup(engine.close)
        engine.start()
        self.addCleanup(engine.stop)
        return engine

    def send(self, engine: FakeModelEngine, **headers: str) -> socket.socket:
        sock = socket.create_connection((engine.web.host, engine.web.port))
        self.addCleanup(sock.close)
        sock.settimeout(READ_TIMEOUT_S)
        given = {
            'Host': 'advisor.example',
            'X-Request-Id': 'r-1',
            'X-Request-Deadline': '5000',
            'Content-Length': '0',
            **headers,
        }
        lines = [f'{name}: {text}\r\n' for name, text in given.items()]
        head = ''.join(('POST /ask/1 HTTP/1.1\r\n', *lines, '\r\n'))
        sock.sendall(head.encode())
        return sock

    def read(self, sock: socket.socket) -> Received:
        """Read until the answer ends with its connection or last chunk."""
        raw = b''
        gaps_s = [0.0]
        reset = False
        while not raw.endswith(LAST_CHUNK):
            before_s = time.monotonic()
            try:
                piece = sock.recv(65536)
            except ConnectionResetError:
                reset = True
                break
            gaps_s.append(time.monotonic() - before_s)
            if not piece:
                break
            raw += piece
        return Received(raw, reset, max(gaps_s))

    def test_harmful_part_resets_all_connections(self) -> None:
        """Sound streams end with it; a later run ends another way."""
        engine = self.build_engine(gap_s=0.2)
        crashes: list[str] = []
        engine.trouble.on_harmful = crashes.append
        for starts in (1, 0):
            sound = self.send(engine, **SOUND)
            harmful = self.send(engine, **HARMFUL)

            with self.subTest(starts):
                self.assertTrue(self.read(sound).reset)
                ended = self.read(harmful)
                self.assertTrue(ended.reset)
                self.assertEqual(ended.raw.count(b'HTTP/1.1 200'), starts)
        self.assertEqual(crashes, ['r-1', 'r-1'])

    def test_last_part_is_never_harmful(self) -> None:
        engine = self.build_engine()

        received = self.read(self.send(engine, **SOUND))

        self.assertEqual(received.raw.count(b'data:'), 6)
        self.assertFalse(received.reset)

    def test_unframed_answers_end_with_their_connection(self) -> None:
        """They have neither a length nor chunks; streams and bookings."""
        for model, expected in (('fitting', b'id: 6'), ('', b'{"id": "r-1"}')):
            engine = self.build_engine(model=model)
            engine.trouble.update({'unframed_s': 5})

            received = self.read(self.send(engine))

            with self.subTest(model):
                self.assertIn(expected, received.raw)
                self.assertFalse(received.reset)
                self.assertNotIn(b'Content-Length', received.raw)
                self.assertNotIn(b'Transfer-Encoding', received.raw)

    def test_cut_stream_ends_inside_an_event(self) -> None:
        """With its last chunk, or without framing; the next one is whole."""
        engine = self.build_engine()
        for unframed_s in (0, 5):
            engine.trouble.update({'unframed_s': unframed_s})
            engine.trouble.update({'cut_streams': 1})

            cut, whole = (self.read(self.send(engine)) for _ in range(2))

            with self.subTest(unframed_s):
                self.assertFalse(cut.reset)
                self.assertEqual(cut.raw.count(b'id: '), 3)
                self.assertEqual(cut.raw.count(b'\n\n'), 2)
                self.assertEqual(whole.raw.count(b'\n\n'), 6)

    def test_silent_engine_goes_on_with_all_its_answers(self) -> None:
        """Nothing is lost, and nothing arrives in between."""
        engine = self.build_engine(gap_s=0.1)
        socks = [self.send(engine) for _ in range(2)]
        time.sleep(0.25)
        engine.trouble.update({'silent_s': 1})

        with ThreadPoolExecutor() as readers:
            answers = list(readers.map(self.read, socks))

        for received in answers:
            self.assertEqual(received.raw.count(b'\n\n'), 6)
            self.assertFalse(received.reset)
            self.assertGreater(received.longest_gap_s, 0.7)
