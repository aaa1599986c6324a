"""The trials that experiments can run, by their names in the experiment files."""

from __future__ import annotations

from collections.abc import Callable

from lotuspick.lab.experiment.cell_trials import cells, moves
from lotuspick.lab.experiment.cost import cost
from lotuspick.lab.fleet.trial import fleet
from lotuspick.lab.load.trial import load
from lotuspick.lab.net.trial import membership
from lotuspick.lab.seats.cost import cost as seats_cost
from lotuspick.lab.seats.trial import seats
from lotuspick.lab.soak.flood_trial import flood
from lotuspick.lab.soak.trial import soak
from lotuspick.lab.trial_result import Parameters, TrialResult

Trial = Callable[[Parameters, Parameters, int], TrialResult]
"""Called with the parameters common to all arms, the parameters of one arm, and a seed."""
TRIALS: dict[str, Trial] = {
    "cells": cells,
    "moves": moves,
    "cost": cost,
    "seats": seats,
    "seats-cost": seats_cost,
    "load": load,
    "membership": membership,
    "fleet": fleet,
    "soak": soak,
    "flood": flood,
}
