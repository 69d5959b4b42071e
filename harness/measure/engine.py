"""Fake engines on virtual time with slots, speeds and an LRU prefix cache."""

import collections

from balsamdale import declaration

__all__ = ['FakeEngine']


class FakeEngine:
    """The state of one engine.

    Args:
        server: declaration of its slots, cache size and speeds.
    """

    def __init__(self, server: declaration.BackendServer):
        self.server = server
        self.name = server.name
        self.is_up = True
        self.running: dict[int, object] = {}
        self.cached_prefixes: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self.total_cached_tokens = 0
        self.exported_prefixes: dict[str, int] = {}
        self.ended_at_s: dict[str, float] = {}
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
        prefix_tokens = self.cached_prefixes.get(run.program, 0)
        cached_tokens = min(prefix_tokens, call.prompt_tokens)
        if prefix_tokens:
            self.cached_prefixes.move_to_end(run.program)
        uncached_tokens = call.prompt_tokens - cached_tokens
        duration_s = uncached_tokens / self.server.prefill_tokens_per_s
        duration_s += call.answer_tokens / self.server.decode_tokens_per_s
        return cached_tokens, duration_s + import_s

    def export(self, program: str, now_s: float) -> None:
        """Move a prefix from the cache to the exported prefixes."""
        tokens = self.cached_prefixes.get(program, 0)
        self.remove_prefix(program, now_s)
        if tokens:
            self.exported_prefixes[program] = tokens

    def _import(self, program):
        """Import an exported prefix; return the duration in seconds."""
        tokens = self.exported_prefixes.pop(program, 0)
        if not tokens:
            return 0.0
        self.cached_prefixes[program] = tokens
        self.total_cached_tokens += tokens
        return tokens / self.server.import_tokens_per_s

    def end(self, run, now_s: float) -> None:
        """Finish a request and cache its whole context."""
        del self.running[id(run)]
        tokens = run.call.prompt_tokens + run.call.answer_tokens
        self.remove_prefix(run.program, now_s)
        self.cached_prefixes[run.program] = tokens
        self.total_cached_tokens += tokens
        active_programs = {other.program for other in self.running.values()}
        while self.total_cached_tokens > self.server.cache_tokens:
            evicted_program = next(
                (
                    program
                    for program in self.cached_prefixes
                    if program not in active_programs
                ),
                None,
            )
            if evicted_program is None:
                break
            self.remove_prefix(evicted_program, now_s)

    def remove_prefix(self, program: str, now_s: float) -> None:
        """Remove a prefix; count how long it outlived its program."""
        self.exported_prefixes.pop(program, None)
        tokens = self.cached_prefixes.pop(program, 0)
        self.total_cached_tokens -= tokens
        ended_at_s = self.ended_at_s.pop(program, None)
        if ended_at_s is not None:
            self.orphan_token_s += tokens * (now_s - ended_at_s)

    def mark_ended(self, program: str, now_s: float) -> None:
        """Record when a program ended whose prefix is still cached."""
        if program in self.cached_prefixes:
            self.ended_at_s[program] = now_s

    def crash(self, now_s: float) -> list:
        """Stop and empty the cache; return the requests in flight."""
        self.is_up = False
        lost_runs = list(self.running.values())
        self.running.clear()
        for program in list(self.cached_prefixes):
            self.remove_prefix(program, now_s)
        return lost_runs
