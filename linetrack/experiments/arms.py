"""The ways in which an experiment is run: with the program, and with each of what it is compared with."""

from __future__ import annotations

from dataclasses import dataclass, field

import msgspec

from linetrack.config.operators import OverloadControl
from linetrack.emulator.schema import Fault
from linetrack.experiments.results import MAIN_ARM
from linetrack.experiments.schema import Experiment, Omission, PolicyName
from linetrack.load.schema import Load


@dataclass
class Arm:
    """One way in which an experiment is run, and the bounds on its metrics or differences."""

    name: str
    policy: PolicyName
    build: str
    without: tuple[Omission, ...] = ()
    expect: dict[str, str] = field(default_factory=dict)

    @property
    def is_main(self) -> bool:
        """Whether it is the one that the others are compared with."""
        return self.name == MAIN_ARM

    def faults_of(self, experiment: Experiment) -> tuple[Fault, ...]:
        """The faults of its runs."""
        return () if Omission.FAULTS in self.without else experiment.faults

    def load_of(self, experiment: Experiment) -> Load:
        """The load of its runs."""
        load = experiment.load
        if Omission.RETRIES not in self.without:
            return load
        return msgspec.structs.replace(load, retries=msgspec.structs.replace(load.retries, max_retries=0))

    def adapt(self, experiment: Experiment) -> Experiment:
        """The experiment with the sidecars of its runs."""
        if Omission.OVERLOAD_CONTROL not in self.without:
            return experiment
        sidecars = msgspec.structs.replace(experiment.sidecars, overload_control=OverloadControl())
        return msgspec.structs.replace(experiment, sidecars=sidecars)


def arms_of(experiment: Experiment) -> list[Arm]:
    """The main arm first."""
    sidecars = experiment.sidecars
    main = Arm(MAIN_ARM, sidecars.policy, sidecars.build, (), experiment.expect)
    others = [
        Arm(
            name=comparison.name,
            policy=comparison.policy,
            build=comparison.build,
            without=comparison.without,
            expect=dict(comparison.expect),
        )
        for comparison in experiment.comparisons
    ]
    return [main, *others]
