"""Errors of the lab's rigs and trials."""

from __future__ import annotations

from lotuspick.errors import LotuspickError


class LabError(LotuspickError):
    """A trial cannot continue."""


class BrokerStartError(LabError):
    """A broker process ended before it accepted viewers."""

    def __init__(self, broker: int, log_tail: str) -> None:
        super().__init__(f"broker {broker} did not start: {log_tail}")
        self.broker = broker
        self.log_tail = log_tail


class ConditionTimeoutError(LabError):
    """A condition that a rig waited for was not met in time."""

    def __init__(self, condition: str, timeout_s: float, details: str) -> None:
        super().__init__(f"condition not met after {timeout_s:g} s: {condition} {details}")
        self.condition = condition
        self.timeout_s = timeout_s
        self.details = details


class NoFreePortError(LabError):
    """No port was found that is free for both TCP and UDP."""

    def __init__(self, attempts: int) -> None:
        super().__init__(f"no port found that is free for both TCP and UDP, after {attempts} attempts")
        self.attempts = attempts


class ProcessFailedError(LabError):
    """A child process exited with an error."""

    def __init__(self, process: str, output: str = "") -> None:
        super().__init__(f"{process} failed" + (f": {output}" if output else ""))
        self.process = process
        self.output = output


class SettlementMismatchError(LabError):
    """The settlement of ledgers depends on their order, or is not idempotent."""

    def __init__(self) -> None:
        super().__init__("the settlement of the ledgers depends on their order, or is not idempotent")
