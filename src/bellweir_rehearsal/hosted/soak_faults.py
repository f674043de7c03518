"""The faults that a soak of the hosted roles draws from, by what they strike."""

from bellweir_rehearsal.hosted.clock_faults import ClockStep, LongClockStep
from bellweir_rehearsal.hosted.crashing_requests import CrashingRequests, CrashingWork
from bellweir_rehearsal.hosted.disk_faults import (
    DisksLostWithoutPower,
    PowerLossOfAll,
    PowerLossOfStore,
    PowerLossOfStores,
    WipeStore,
)
from bellweir_rehearsal.hosted.failing_items import FailingItems
from bellweir_rehearsal.hosted.fault import SoakFault
from bellweir_rehearsal.hosted.full_disk import FullDisk
from bellweir_rehearsal.hosted.machine_faults import AddStore, ReplaceStore, RetireStore
from bellweir_rehearsal.hosted.platform_faults import (
    BrokenAnswers,
    BrokenWorkers,
    EvacuatedZone,
    ForgottenHistory,
    LostReports,
    LostWrites,
    NewConfiguration,
    NewVersion,
    RefusingWorkers,
    StoreOutage,
    WorkersStartAgain,
)
from bellweir_rehearsal.hosted.process_faults import (
    ChangeBuild,
    FreezeGateway,
    FreezeStore,
    HangUp,
    KillAll,
    KillGateway,
    KillLeader,
    KillStore,
    StopAmidSignals,
    StopCutShort,
    StopGateway,
    StopStore,
    SuspendGateway,
    SuspendStore,
)
from bellweir_rehearsal.hosted.worker_crashes import WorkerCrashes

MACHINE_FAULTS: tuple[type[SoakFault], ...] = (
    KillGateway,
    KillStore,
    KillAll,
    StopGateway,
    StopStore,
    StopAmidSignals,
    StopCutShort,
    HangUp,
    FreezeGateway,
    FreezeStore,
    SuspendGateway,
    SuspendStore,
    WipeStore,
    PowerLossOfStore,
    PowerLossOfStores,
    PowerLossOfAll,
    DisksLostWithoutPower,
    FullDisk,
    ClockStep,
    LongClockStep,
    AddStore,
    ReplaceStore,
    RetireStore,
)
PLATFORM_FAULTS: tuple[type[SoakFault], ...] = (
    StoreOutage,
    ForgottenHistory,
    LostWrites,
    BrokenWorkers,
    NewConfiguration,
    NewVersion,
    LostReports,
    CrashingRequests,
)
LASTING_FAULTS: tuple[type[SoakFault], ...] = (
    PowerLossOfStore,
    PowerLossOfStores,
    PowerLossOfAll,
    DisksLostWithoutPower,
    FullDisk,
    WipeStore,
    ClockStep,
    LongClockStep,
    AddStore,
    ReplaceStore,
    RetireStore,
    StopStore,
)
"""Those that strike what lasts: disks, clocks, and which machines there are."""
PLACES_FAULTS: tuple[type[SoakFault], ...] = (
    EvacuatedZone,
    EvacuatedZone,
    WorkersStartAgain,
    WorkersStartAgain,
    KillGateway,
    KillStore,
    StopGateway,
    StopStore,
    NewVersion,
)
"""Those of evacuations and cold workers, with none that cuts machines off from word of them."""
TEXT_FAULTS: tuple[type[SoakFault], ...] = (
    KillStore,
    KillStore,
    StopStore,
    StopCutShort,
    FreezeStore,
    PowerLossOfStore,
    PowerLossOfAll,
    WipeStore,
    RetireStore,
    BrokenWorkers,
    WorkersStartAgain,
)
"""Those that lose the leader of the jobs, or a run, in the middle of a text."""
SUSPENSION_FAULTS: tuple[type[SoakFault], ...] = (
    SuspendStore,
    SuspendStore,
    SuspendGateway,
    NewVersion,
    NewVersion,
    NewConfiguration,
)
"""Suspended machines while there is something to order and to follow."""
CRASH_FAULTS: tuple[type[SoakFault], ...] = (
    CrashingRequests,
    CrashingRequests,
    CrashingRequests,
    KillGateway,
    StopGateway,
    FreezeGateway,
    SuspendGateway,
    KillStore,
    BrokenWorkers,
    WorkersStartAgain,
    NewConfiguration,
)
"""Requests that crash workers, while those that must know of them come and go."""
WORKER_CRASH_FAULTS: tuple[type[SoakFault], ...] = (
    WorkerCrashes,
    WorkerCrashes,
    WorkerCrashes,
    CrashingWork,
    CrashingWork,
    CrashingWork,
    KillGateway,
    StopGateway,
    BrokenWorkers,
    NewConfiguration,
)
"""Workers that crash in series beside requests that crash them; no store machine is lost."""
BUDGET_FAULTS: tuple[type[SoakFault], ...] = (
    FailingItems,
    FailingItems,
    FailingItems,
    CrashingRequests,
    CrashingRequests,
    KillLeader,
    KillLeader,
    KillLeader,
    KillLeader,
    KillGateway,
    KillGateway,
    StopStore,
    StopGateway,
    FreezeStore,
    SuspendStore,
    FreezeGateway,
)
"""Requests with a bound on their runs, while the processes that count these come and go."""
STREAM_FAULTS: tuple[type[SoakFault], ...] = (
    StopGateway,
    StopGateway,
    StopAmidSignals,
    HangUp,
    RefusingWorkers,
    RefusingWorkers,
    NewVersion,
    NewConfiguration,
    StopStore,
)
"""Planned stops and workers that refuse, under long streams with bodies of all lengths."""
ANSWER_FAULTS: tuple[type[SoakFault], ...] = (
    BrokenAnswers,
    BrokenAnswers,
    BrokenAnswers,
    BrokenAnswers,
    StopGateway,
    StopAmidSignals,
    HangUp,
    KillGateway,
    NewConfiguration,
    NewVersion,
    StopStore,
)
"""Workers that break answers, in any overlap with stops, reloads and new configurations."""
BUILD_FAULTS: tuple[type[SoakFault], ...] = (
    ChangeBuild,
    ChangeBuild,
    ChangeBuild,
    KillGateway,
    KillStore,
    StopStore,
    NewConfiguration,
    NewVersion,
)
"""Those of a time in which builds are replaced: mostly that, beside what strikes on any day."""
ALL_FAULTS: tuple[type[SoakFault], ...] = (*MACHINE_FAULTS, *MACHINE_FAULTS, *PLATFORM_FAULTS)
"""All of them; those that strike machines are drawn twice as often as the platform's."""
BESIDE_FAULTS: tuple[type[SoakFault], ...] = (WorkersStartAgain,)
"""Drawn beside all of them by a task of its own, so that their draws do not hang on these."""
