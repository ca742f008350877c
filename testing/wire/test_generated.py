"""Tests that the generated wire code is that of the .proto files."""

import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

SOURCE = Path(__file__).parents[2] / 'src'
WIRE = Path('bramleylug', 'wire')


class TestGeneratedCode(unittest.TestCase):
    """The committed code is what ``make generate`` writes."""

    def test_generated_code_matches_its_source(self) -> None:
        """A field that only the .proto file has would not be sent."""
        protos = sorted(
            str(path.relative_to(SOURCE))
            for path in (SOURCE / WIRE).glob('*.proto')
        )
        with tempfile.TemporaryDirectory() as temporary:
            subprocess.run(
                [
                    sys.executable,
                    '-m',
                    'grpc_tools.protoc',
                    '-I',
                    '.',
                    f'--python_out={temporary}',
                    f'--pyi_out={temporary}',
                    f'--grpc_python_out={temporary}',
                    *protos,
                ],
                cwd=SOURCE,
                check=True,
            )
            generated = {
                path.name: path.read_text()
                for path in (Path(temporary) / WIRE).iterdir()
            }

        committed = {
            path.name: path.read_text()
            for path in (SOURCE / WIRE).glob('*_pb2*')
        }
        self.assertEqual(generated, committed)
