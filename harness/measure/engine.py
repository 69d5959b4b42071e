"""Fake engines in virtual time: slots, speeds and an LRU prefix cache."""

import collections

from balsamdale import declaration

__all__ = ['FakeEngine']


class FakeEngine:
    """One engine.

    Args:
        server: its slots, cache and speeds.
    """

    def __init__(self, server: declaration.BackendServer):
        self.server = server
        self.name = server.name
        self.is_up = True
        self.running: dict[int, object] = {}
        self.cache: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self.cached_tokens = 0
        self.exported: dict[str, int] = {}
        self.held_since_s: dict[str, float] = {}
        self.orphan_token_s = 0.0

    @property
    def free_slots(self) -> int:
        """Slots without a request."""
        return self.server.slots - len(self.running)

    def begin(self, run) -> tuple[int, float]:
        """Start a request; return its cached tokens and its duration."""
        self.running[id(run)] = run
        call = run.call
        import_s = self._import(run.program)
        held = self.cache.get(run.program, 0)
        cached = min(held, call.prompt_tokens)
        if held:
            self.cache.move_to_end(run.program)
        fresh = call.prompt_tokens - cached
        duration_s = fresh / self.server.prefill_tokens_per_s
        duration_s += call.answer_tokens / self.server.decode_tokens_per_s
        return cached, duration_s + import_s

    def export(self, program: str, now_s: float) -> None:
        """Move a prefix out of the cache."""
        tokens = self.cache.get(program, 0)
        self.remove_prefix(program, now_s)
        if tokens:
            self.exported[program] = tokens

    def _import(self, program):
        """Bring an exported prefix back; return the time it takes."""
        tokens = self.exported.pop(program, 0)
        if not tokens:
            return 0.0
        self.cache[program] = tokens
        self.cached_tokens += tokens
        return tokens / self.server.import_tokens_per_s

    def end(self, run, now_s: float) -> None:
        """Finish a request and cache its whole context."""
        del self.running[id(run)]
        tokens = run.call.prompt_tokens + run.call.answer_tokens
        self.remove_prefix(run.program, now_s)
        self.cache[run.program] = tokens
        self.cached_tokens += tokens
        busy = {other.program for other in self.running.values()}
        while self.cached_tokens > self.server.cache_tokens:
            victim = next((p for p in self.cache if p not in busy), None)
            if victim is None:
                break
            self.remove_prefix(victim, now_s)

    def remove_prefix(self, program: str, now_s: float) -> None:
        """Forget a prefix."""
        self.exported.pop(program, None)
        tokens = self.cache.pop(program, 0)
        self.cached_tokens -= tokens
        since_s = self.held_since_s.pop(program, None)
        if since_s is not None:
            self.orphan_token_s += tokens * (now_s - since_s)

    def mark_ended(self, program: str, now_s: float) -> None:
        """Note that a cached program has ended."""
        if program in self.cache:
            self.held_since_s[program] = now_s

    def crash(self, now_s: float) -> list:
        """Lose everything; return the requests that were in flight."""
        self.is_up = False
        lost = list(self.running.values())
        self.running.clear()
        for program in list(self.cache):
            self.remove_prefix(program, now_s)
        return lost
