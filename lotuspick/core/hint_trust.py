"""Load hints from players and servers, weighted by the trust in each source.

Hints arrive earlier than load notifications. All hints together change the estimated load of a link by a few
percentage points for a few seconds, each weighted by the trust in its source. A later load reading takes
precedence: it raises or lowers the trust in the sources and removes the hints that it contradicts. Until that
reading arrives, a false hint distorts the estimate.

:class:`HintTrust` stores the trust in each source; the claims in force are stored with their server.
"""

from __future__ import annotations

import math

from lotuspick.core import tuning
from lotuspick.core.events import PlayerHint, ServerHint
from lotuspick.core.state import LoadClaim, ServerState, SessionState


class HintTrust:
    """The trust in each source of hints, from 0 (unknown source) to 1."""

    def __init__(self) -> None:
        """Start without trusted sources."""
        self.by_source = dict[str, float]()
        """Trust by source, least recently compared with a reading first."""

    def add_player_hint(self, hint: PlayerHint, session: SessionState, server: ServerState, now: int) -> None:
        """Record a player's hint about the server of its session at clock time ``now`` (us)."""
        viewer = session.request.viewer or hint.session
        throughput_kb_per_s = hint.throughput_kb_per_s
        expected_kb_per_s = session.kb_per_s * tuning.SHORTFALL_SHARE
        below_rate = throughput_kb_per_s is not None and throughput_kb_per_s < expected_kb_per_s
        if hint.starved or below_rate:
            # Only shortage reports earn trust for shortage reports: a player can always claim to be well.
            server.claims.pop("well " + viewer, None)
            server.claims["short " + viewer] = LoadClaim(1 / tuning.SHORTFALL_SHARE, math.inf, now)
        elif throughput_kb_per_s is not None or (hint.buffer_s or 0.0) >= tuning.SUFFICIENT_BUFFER_S:
            # The player gets its full rate, but cannot tell how much more the link could deliver.
            server.claims.pop("short " + viewer, None)
            server.claims["well " + viewer] = LoadClaim(0.0, 1 / tuning.SHORTFALL_SHARE, now)

    def add_server_hint(self, hint: ServerHint, server: ServerState, now: int) -> None:
        """Record a server's hint about its own link at clock time ``now`` (us)."""
        load = max(0.0, 1 - hint.throughput_kb_per_s / server.link.kb_per_s)
        # A full link may be overloaded by any amount.
        high = load + tuning.HINT_TOLERANCE if load < 1 - tuning.HINT_TOLERANCE else math.inf
        server.claims["server " + hint.server] = LoadClaim(load - tuning.HINT_TOLERANCE, high, now)

    def load_correction(self, server: ServerState, load: float, now: int) -> float:
        """Return the correction of the estimated link load by the hints in force, as a share of the link."""
        correction = sum(
            max(
                -tuning.MAX_HINT_LOWERING,
                min(tuning.MAX_HINT_RAISE, min(max(load, claim.low), claim.high) - load),
            )
            * self.by_source.get(source, 0.0)
            for source, claim in _claims_in_force(server, now)
        )
        return max(-tuning.MAX_HINT_LOWERING, min(tuning.MAX_HINT_RAISE, correction))

    def compare_with_reading(self, server: ServerState, load: float, read_at: int, now: int) -> None:
        """Update the trust in sources of hints given about ``read_at`` (us) by a reading of that time."""
        for source, claim in _claims_in_force(server, now):
            if abs(claim.at_us - read_at) > tuning.HINT_LIFETIME_US:
                continue
            agrees = claim.low <= load <= claim.high
            trust = self.by_source.pop(source, 0.0)
            self.by_source[source] = (
                min(1.0, trust + tuning.TRUST_GAIN) if agrees else trust * tuning.TRUST_DECAY
            )
            if not agrees:
                del server.claims[source]
            if len(self.by_source) > tuning.MAX_HINT_SOURCES:
                del self.by_source[next(iter(self.by_source))]


def _claims_in_force(server: ServerState, now: int) -> list[tuple[str, LoadClaim]]:
    """Return the unexpired hints on a server's link by source; delete expired hints."""
    expired = [
        source for source, claim in server.claims.items() if now - claim.at_us > tuning.HINT_LIFETIME_US
    ]
    for source in expired:
        del server.claims[source]
    return list(server.claims.items())
