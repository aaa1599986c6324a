"""One request of a viewer, and the session that may come of it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lotuspick.core.events import SessionRequest
from lotuspick.lab.emulator.audit import Answer, ViewerIntent
from lotuspick.lab.emulator.simulation import HOP_US
from lotuspick.lab.emulator.spec import CLASSES, SECOND_US
from lotuspick.lab.emulator.tenants import Title
from lotuspick.routing.messages import SessionRequested
from lotuspick.routing.termination import TerminationReason

if TYPE_CHECKING:
    from lotuspick.lab.emulator.broker import EmulatedBroker
    from lotuspick.lab.emulator.viewers import RetryingPlayer, Viewers

MAX_ATTEMPTS = 6
RETRY_PROBABILITY = 0.9
RETRY_PAUSE_S = (0.54, 2.7)
LENGTH_HINT_ERROR = (0.8, 1.25)
OVERDUE_US = 60_000
"""An answer that comes so much after the deadline is missing."""
SMALLEST_WEIGHT = 1e-9


class Attempt:
    """One request of a viewer; to the dispatcher it is the viewer's connection.

    Args:
        viewers: Whoever asks again for a viewer that was not served.
        intent: What the viewer came for.
        number: Which of its attempts it is, from 0.
        broker: Whom it asks.
        title: What it asks for.
        player: The broken player that asks; none for a usual viewer.
    """

    is_open = True
    is_closed_by_viewer = False
    last_message_us = 0

    def __init__(
        self,
        viewers: Viewers,
        intent: ViewerIntent,
        number: int,
        broker: EmulatedBroker,
        title: Title,
        player: RetryingPlayer | None = None,
    ) -> None:
        self._viewers = viewers
        self._simulation = viewers.simulation
        self.intent = intent
        self.number = number
        self.broker_process = broker.current_process()
        self.title = title
        self.session = f"{intent.viewer}.{number}"
        self.is_on_time = False
        """It was served within the latency objective of its class."""
        self.end_cause = ""
        """Why its session ended, where that is known to be a fault."""
        weight = CLASSES[intent.session_class].priority_weight
        self.remaining_s = max(1.0, intent.length_s - intent.received / (weight + SMALLEST_WEIGHT))
        self._player = player
        self._asked_us = self._simulation.now_us
        self._plays = False
        self._is_over = False
        self._random = self._simulation.random_stream(self.session)

    def send(self) -> None:
        """Send the request."""
        simulation, intent, title = self._simulation, self.intent, self.title
        now_us = simulation.now_us
        deadline_us = now_us + int(CLASSES[intent.session_class].patience_s * SECOND_US)
        simulation.audit.requests[intent.tenant] += 1
        request = SessionRequest(
            session=self.session,
            session_class=intent.session_class,
            title=title.name,
            home_position=title.home,
            copies=title.copies,
            highest_rung=intent.highest_rung,
            deadline_us=deadline_us,
            length_us=self.remaining_s * SECOND_US * self._random.uniform(*LENGTH_HINT_ERROR),
            viewer=intent.viewer,
            tenant=intent.tenant,
            returned=self.number > 0 and (self._player is None or self._player.storm.marked),
        )
        self.broker_process.deliver(SessionRequested(request, b"", self), HOP_US)
        simulation.call_later(deadline_us - now_us + OVERDUE_US, self._check_answered)

    def _check_answered(self) -> None:
        simulation = self._simulation
        is_pending = not (self._is_over or self._plays or simulation.audit.answer_counts[self.session])
        if self.broker_process.is_running and is_pending:
            simulation.audit.record_violation(simulation.now_us, f"no outcome for {self.session}")

    # ---- what the dispatcher says -------------------------------------------------------------------------

    def served(self, session: str, description: bytes) -> None:
        """The session plays."""
        del description
        self._record_answer(session, Answer.SERVED)
        self._plays = True
        took_us = self._simulation.now_us - self._asked_us
        self.is_on_time = took_us <= CLASSES[self.intent.session_class].latency_objective_us
        if self._player is not None:
            self._player.served(self)

    def rejected(self, session: str, retry_after_ms: int, reason: str = "") -> None:
        """Nothing ran."""
        del reason
        self._record_answer(session, Answer.REJECTED)
        self.retry(retry_after_ms * 1_000)

    def failed(self, session: str, reason: str = "") -> None:
        """The request failed; it may have run."""
        del reason
        self._record_answer(session, Answer.FAILED)
        self.retry(0)

    def released(self, session: str, reason: TerminationReason) -> None:
        """The session has ended."""
        del session
        if reason is TerminationReason.FINISHED:
            self._finish("finished")
        else:
            self.interrupted(self.end_cause or f"dropped: {reason.value}")

    def close_with_error(self, reason: str) -> None:
        """The dispatcher gave the viewer up."""
        self._simulation.audit.record_violation(
            self._simulation.now_us, f"{self.session} abandoned: {reason}"
        )

    def _record_answer(self, session: str, answer: Answer) -> None:
        simulation = self._simulation
        simulation.audit.record_answer(simulation.now_us, session, self.intent.session_class, answer)

    # ---- the end ------------------------------------------------------------------------------------------

    def interrupted(self, cause: str) -> None:
        """The session, or the broker that was asked for it, is lost."""
        if not self._is_over:
            if self._plays:
                self._simulation.audit.ends[cause] += 1
            self.retry(0)

    def retry(self, retry_after_us: int) -> None:
        """Have the viewer ask again, unless it has given up. Broken players have a loop of their own."""
        if self._is_over:
            return
        self._is_over = True
        if self._player is not None:
            return
        if self.number + 1 >= MAX_ATTEMPTS or self._random.random() >= RETRY_PROBABILITY:
            self._simulation.audit.close_intent(self.intent)
            return
        pause_us = max(retry_after_us, int(self._random.uniform(*RETRY_PAUSE_S) * SECOND_US))
        self._simulation.call_later(
            pause_us,
            lambda: self._viewers.request(self.intent, self.number + 1, self.title, self._random),
        )

    def _finish(self, cause: str) -> None:
        if not self._is_over:
            self._is_over = True
            self._simulation.audit.ends[cause] += 1
            if self._player is None:
                self._simulation.audit.close_intent(self.intent)
