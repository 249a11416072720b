"""The arms of an experiment: the main arm, and one for each comparison."""

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
    """One variant of an experiment, and the bounds on its metrics or the main arm's differences from it."""

    name: str
    policy: PolicyName
    build: str
    without: tuple[Omission, ...] = ()
    expect: dict[str, str] = field(default_factory=dict)

    @property
    def is_main(self) -> bool:
        """Whether this is the arm that the others are compared with."""
        return self.name == MAIN_ARM

    def faults_of(self, experiment: Experiment) -> tuple[Fault, ...]:
        """Return the faults that are injected into the runs of this arm."""
        return () if Omission.FAULTS in self.without else experiment.faults

    def load_of(self, experiment: Experiment) -> Load:
        """Return the load of the runs of this arm."""
        load = experiment.load
        if Omission.RETRIES not in self.without:
            return load
        return msgspec.structs.replace(load, retries=msgspec.structs.replace(load.retries, max_retries=0))

    def adapt(self, experiment: Experiment) -> Experiment:
        """Return the experiment with the sidecar settings of this arm."""
        if Omission.OVERLOAD_CONTROL not in self.without:
            return experiment
        sidecars = msgspec.structs.replace(experiment.sidecars, overload_control=OverloadControl())
        return msgspec.structs.replace(experiment, sidecars=sidecars)


def arms_of(experiment: Experiment) -> list[Arm]:
    """Return all arms of an experiment, the main arm first."""
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
