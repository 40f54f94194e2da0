package junipercourse.decision.state;

import java.util.List;
import java.util.SplittableRandom;
import junipercourse.decision.api.DecisionSettings;
import junipercourse.decision.api.DispatcherActions;
import junipercourse.decision.api.QueryClass;

/**
 * The state that all components of one decision module share. Each mutable object maintains its own
 * invariants.
 *
 * @param settings settings of the module
 * @param actions executes decisions
 * @param random the only source of random numbers; decisions depend on the order in which they are
 *     drawn
 * @param engines all engines
 * @param requests all requests
 * @param classes statistics of all query classes, indexed as in the settings
 */
public record DispatchState(
        DecisionSettings settings,
        DispatcherActions actions,
        SplittableRandom random,
        EngineRegistry engines,
        RequestTable requests,
        List<ClassStatistics> classes) {

    /** Creates the state of a module that has not received an event yet. */
    public static DispatchState create(
            DecisionSettings settings, long seed, DispatcherActions actions) {
        return new DispatchState(
                settings,
                actions,
                new SplittableRandom(seed),
                new EngineRegistry(),
                new RequestTable(),
                settings.queryClasses().stream().map(ClassStatistics::new).toList());
    }

    /** Returns true if any class locks table groups. */
    public boolean hasLoadingClasses() {
        return settings.queryClasses().stream().anyMatch(QueryClass::loadsTables);
    }
}
