"""Keeps a router's placement in step with the store and the configuration."""

from collections.abc import Callable

from lavenderfold.direct._sinks import ConfigSink, EvacuationSink, OperatorSink
from lavenderfold.fleet import PrefixFollower, Target, TargetDirectory
from lavenderfold.placement import ColdTargets, Placement
from lavenderfold.timers import TimerService

# Targets may have turned cold unnoticed if their entries weren't read for this time,
# which is longer than an idle watch and its margin.
OUTDATED_S = 3.0


class RouterPlacement:
    """The placement of one router, and what changes it.

    ``follow`` must be called before the followers run. ``router_count`` returns the
    number of routers, 0 if it isn't known.
    """

    def __init__(
        self,
        *,
        region_by_domain: dict[str, str],
        warm_up_overshoot: float,
        warm_up_tolerance: float,
        router_count: Callable[[], int],
        timers: TimerService,
    ):
        self.placement = Placement(
            region_by_domain=region_by_domain,
            cold=ColdTargets(
                overshoot=warm_up_overshoot,
                tolerance=warm_up_tolerance,
                router_count=router_count,
            ),
            is_uncertain=self._are_targets_outdated,
        )
        self._timers = timers
        self._directory = TargetDirectory()
        self._follower: PrefixFollower | None = None
        self._evacuations: EvacuationSink | None = None

    def operator_sink(
        self, *, config_key: str, config: ConfigSink, evacuations_prefix: str | None
    ) -> ConfigSink | OperatorSink:
        """Return the sink for what operators write."""
        if evacuations_prefix is None:
            return config
        self._evacuations = EvacuationSink(
            prefix=evacuations_prefix,
            evacuations=self.placement.evacuations,
            timers=self._timers,
            is_known=self._is_known_domain,
            on_ended=self._record_return,
        )
        return OperatorSink(
            config_key=config_key,
            config=config,
            evacuations_prefix=evacuations_prefix,
            evacuations=self._evacuations,
        )

    def follow(self, directory: TargetDirectory, follower: PrefixFollower) -> None:
        """Use the targets that ``follower`` reads."""
        self._directory = directory
        self._follower = follower

    def record_entry(self, target: Target, revision: int) -> None:
        """Record a target's entry, which was read now."""
        self.placement.cold.record_entry(
            target,
            revision=revision,
            is_first_listing=not self._follower.is_listed,
            now=self._timers.now(),
        )

    def expire(self, now: float) -> None:
        """End evacuations whose keys have been missing for long enough."""
        if self._evacuations is not None:
            self._evacuations.expire(now)

    def _are_targets_outdated(self) -> bool:
        return self._timers.now() - self._follower.answered_at > OUTDATED_S

    def _is_known_domain(self, domain: str) -> bool:
        targets = self._directory.targets()
        known = {each.domain for each in targets}
        return domain in known or domain in self.placement.region_by_domain

    def _record_return(self, domain: str) -> None:
        targets = self._directory.targets()
        self.placement.cold.record_return(
            [each for each in targets if each.domain == domain], now=self._timers.now()
        )
