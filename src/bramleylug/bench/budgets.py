"""Resource budgets that the requirements set."""

from bramleylug.bench.capacity_estimates import Budget
from bramleylug.bench.quantities import CONTROL_BYTES_PER_S

MEBIBYTE = 1024 * 1024

CONTROL_CORES = Budget(0.025, 'letter: 2.5% of a core for control')
CONTROL_BYTES = Budget(64 * MEBIBYTE, 'letter: 64 MB for control')
CONTROL_RATE = Budget(CONTROL_BYTES_PER_S, 'letter: 17 KB a second for control')
IN_FORCE = Budget(3, 'letter: in force everywhere within 3 s')
FIRST_TOKEN = Budget(1600, 'letter: the first token within 1.6 s')
TOKEN_GAP = Budget(34, 'letter: 34 ms between tokens for 95 in 100')
ONE_CORE = Budget(1, 'one core: a loop is one thread')
ANSWER_BYTES = Budget(16 * MEBIBYTE, 'setting --memory-bytes')
STORE_READS = Budget(2000, 'brief: about two thousand reads a second')
STORE_WRITES = Budget(400, 'brief: several hundred writes a second')
STORE_VALUE = Budget(MEBIBYTE, 'brief: the store holds values up to a megabyte')
