package junipercourse.decision.health;

import java.util.List;
import junipercourse.decision.api.EngineId;
import junipercourse.decision.estimation.EngineSpeedEstimator;
import junipercourse.decision.state.Attempt;
import junipercourse.decision.state.DecisionDefaults;
import junipercourse.decision.state.DispatchState;
import junipercourse.decision.state.EngineHealth;
import junipercourse.decision.state.EngineState;
import junipercourse.decision.state.PendingRequest;
import junipercourse.decision.state.QueryFaults;

/**
 * Decides which engines are ejected: those that hang, fail or cannot be reached. An ejected engine
 * gets a single attempt as a probation after a pause that doubles each time.
 */
public final class OutlierDetector {
    private static final double SILENCE_LATENCIES = 4; // expected latencies without activity
    private static final double MIN_SILENCE_SECONDS = 1.5;
    private static final int MIN_SILENT_ATTEMPTS = 2; // one may wait for a lock
    private static final int MAX_CONSECUTIVE_ERRORS = 2; // a single one is chance
    private static final int MAX_CONSECUTIVE_RESETS = 3;
    private static final double ALIVE_SECONDS = 0.5; // an engine that answered so recently is alive
    private static final double MAX_EJECTED_SHARE = 0.34; // if more seem bad, all are slow

    private final DispatchState state;
    private final EngineSpeedEstimator speed;
    private int ejectedCount;

    /** Creates a detector. */
    public OutlierDetector(DispatchState state, EngineSpeedEstimator speed) {
        this.state = state;
        this.speed = speed;
    }

    /** Ejects the engine of an attempt if several attempts have waited long without activity. */
    public void checkSilence(double now, Attempt attempt) {
        EngineState engine = attempt.engine();
        EngineHealth health = engine.health();
        double fleetSlowdown = Math.exp(Math.max(0, speed.medianLogSlowdown()));
        double patience =
                Math.max(
                        MIN_SILENCE_SECONDS,
                        attempt.expectedLatency() * SILENCE_LATENCIES * fleetSlowdown);
        if (now - Math.max(attempt.sentAt(), health.lastActivityAt()) <= patience) {
            return;
        }
        int silentAttempts = health.addSilentAttempt(attempt);
        if (silentAttempts >= MIN_SILENT_ATTEMPTS && !health.isEjected()) {
            health.setSilentSince(now);
            eject(now, engine, EjectionReason.SILENT);
        }
    }

    /**
     * Returns true if an attempt was sent before its engine began to hang. One that was sent since
     * is a probation and left to run.
     */
    public static boolean isHanging(Attempt attempt) {
        EngineHealth health = attempt.engine().health();
        return health.isEjected() && attempt.sentAt() <= health.silentSince();
    }

    /**
     * Returns true if an engine seems to be dead after a broken or refused connection. Single
     * connections break at engines that answer others all the while.
     */
    public boolean recordReset(double now, EngineState engine) {
        int resets = engine.health().addReset();
        return now - engine.health().lastAnswerAt() > ALIVE_SECONDS
                || resets >= MAX_CONSECUTIVE_RESETS;
    }

    /**
     * Ejects an engine until a probation succeeds. At most a share of all engines is ejected,
     * whatever the reason.
     */
    public void eject(double now, EngineState engine, EjectionReason reason) {
        EngineHealth health = engine.health();
        double backoff =
                health.isEjected()
                        ? Math.min(
                                DecisionDefaults.MAX_BACKOFF_SECONDS,
                                health.ejectionBackoffSeconds() * 2)
                        : DecisionDefaults.INITIAL_BACKOFF_SECONDS;
        health.scheduleProbation(now, backoff);
        double maxEjected = Math.max(1, state.engines().readyCount() * MAX_EJECTED_SHARE);
        if (!health.isEjected() && ejectedCount + 1 <= maxEjected) {
            state.actions().log("ejected engine " + engine.id().value() + ": " + reason.label());
            health.eject(reason == EjectionReason.FAILING);
            ejectedCount++;
        }
    }

    /** Ends the ejection of an engine, if it is ejected. */
    public void reinstate(EngineState engine, ReinstatementReason reason) {
        if (engine.health().isEjected()) {
            engine.health().reinstate();
            ejectedCount--;
            state.actions().log(reason.label() + " engine " + engine.id().value());
        }
    }

    /**
     * Counts an error against its engine, until the same query fails at another one as well: then
     * the query is at fault, and the engine is cleared of it.
     */
    public void recordError(double now, PendingRequest request, EngineState engine) {
        QueryFaults faults = request.faults();
        faults.addError();
        if (faults.isPoisonQuery()) {
            return;
        }
        EngineState blamed = faults.blamedEngine();
        if (blamed != null && blamed != engine) {
            faults.markPoisonQuery();
            clear(blamed);
        } else {
            faults.blame(engine);
            if (engine.health().addError() >= MAX_CONSECUTIVE_ERRORS) {
                eject(now, engine, EjectionReason.FAILING); // errors are fast: it would look idle
            }
        }
    }

    private void clear(EngineState engine) {
        EngineHealth health = engine.health();
        if (health.consecutiveErrors() > 0
                && health.removeError() < MAX_CONSECUTIVE_ERRORS
                && health.isEjectedForErrors()) {
            reinstate(engine, ReinstatementReason.CLEARED);
        }
    }

    /** Returns the ejected engines. */
    public List<EngineId> ejectedEngines() {
        return state.engines().all().stream()
                .filter(engine -> engine.health().isEjected())
                .map(EngineState::id)
                .toList();
    }
}
