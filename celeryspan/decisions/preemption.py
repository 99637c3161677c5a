"""Whether to take a slot back from a client account that is far ahead.

Load pattern: long jobs of one account hold many slots when others become backlogged,
and slots fall free only as those jobs end.

Without it the others wait for up to one greatest cost. With it, a stream is cancelled
and resumed later, which costs the engine the tokens of its prompt and answer so far.
"""

from __future__ import annotations
