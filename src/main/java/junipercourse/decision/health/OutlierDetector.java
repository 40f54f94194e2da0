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
 * Ejects engines that hang, return errors or cannot be reached. After a backoff that doubles each
 * time, an ejected engine is sent a single attempt as a probation.
 */
public final class OutlierDetector {
    private static final double SILENCE_LATENCY_FACTOR = 4; // times the expected latency
    private static final double MIN_SILENCE_SECONDS = 1.5;
    private static final int MIN_SILENT_ATTEMPTS = 2; // a single one may wait for a lock
    private static final int MAX_CONSECUTIVE_ERRORS = 2; // a single error may be random
    private static final int MAX_CONSECUTIVE_RESETS = 3;
    // An engine that answered within this time is alive.
    private static final double RECENT_ANSWER_SECONDS = 0.5;
    private static final double MAX_EJECTED_SHARE = 0.34; // if more seem faulty, the fleet is slow

    private final DispatchState state;
    private final EngineSpeedEstimator speedEstimator;
    private int ejectedCount;

    /** Creates a detector. */
    public OutlierDetector(DispatchState state, EngineSpeedEstimator speedEstimator) {
        this.state = state;
        this.speedEstimator = speedEstimator;
    }

    /**
     * Ejects the engine of an attempt if several of its attempts have had no activity for a long
     * time.
     */
    public void checkSilence(double now, Attempt attempt) {
        EngineState engine = attempt.engine();
        EngineHealth health = engine.health();
        double fleetSlowdown = Math.exp(Math.max(0, speedEstimator.medianLogSlowdown()));
        double silenceTimeoutSeconds =
                Math.max(
                        MIN_SILENCE_SECONDS,
                        attempt.expectedLatency() * SILENCE_LATENCY_FACTOR * fleetSlowdown);
        if (now - Math.max(attempt.sentAt(), health.lastActivityAt()) <= silenceTimeoutSeconds) {
            return;
        }
        int silentAttemptCount = health.addSilentAttempt(attempt);
        if (silentAttemptCount >= MIN_SILENT_ATTEMPTS && !health.isEjected()) {
            health.setSilentSince(now);
            eject(now, engine, EjectionReason.SILENT);
        }
    }

    /**
     * Returns true if the engine of an attempt is ejected and the attempt was sent before the
     * engine began to hang. An attempt that was sent later is a probation and continues to run.
     */
    public static boolean isHanging(Attempt attempt) {
        EngineHealth health = attempt.engine().health();
        return health.isEjected() && attempt.sentAt() <= health.silentSince();
    }

    /**
     * Records a broken or refused connection, and returns true if the engine seems to be dead.
     * Single connections also break at engines that still answer other attempts.
     */
    public boolean recordReset(double now, EngineState engine) {
        int resetCount = engine.health().addReset();
        return now - engine.health().lastAnswerAt() > RECENT_ANSWER_SECONDS
                || resetCount >= MAX_CONSECUTIVE_RESETS;
    }

    /**
     * Schedules the next probation of an engine, and ejects it until a probation succeeds. At most
     * a share of all engines is ejected at the same time, whatever the reason.
     */
    public void eject(double now, EngineState engine, EjectionReason reason) {
        EngineHealth health = engine.health();
        double backoffSeconds =
                health.isEjected()
                        ? Math.min(
                                DecisionDefaults.MAX_BACKOFF_SECONDS,
                                health.ejectionBackoffSeconds() * 2)
                        : DecisionDefaults.INITIAL_BACKOFF_SECONDS;
        health.scheduleProbation(now, backoffSeconds);
        double maxEjected = Math.max(1, state.engines().readyCount() * MAX_EJECTED_SHARE);
        if (!health.isEjected() && ejectedCount + 1 <= maxEjected) {
            state.actions().log("ejected engine " + engine.id().value() + ": " + reason.label());
            health.eject(reason == EjectionReason.FAILING);
            ejectedCount++;
        }
    }

    /** Reinstates an engine if it is ejected. */
    public void reinstate(EngineState engine, ReinstatementReason reason) {
        if (engine.health().isEjected()) {
            engine.health().reinstate();
            ejectedCount--;
            state.actions().log(reason.label() + " engine " + engine.id().value());
        }
    }

    /**
     * Counts an error of a request against the engine. If the request then fails at a second engine
     * too, it is marked as a poison query, and the error of the first engine is no longer counted.
     */
    public void recordError(double now, PendingRequest request, EngineState engine) {
        QueryFaults faults = request.faults();
        faults.addError();
        if (faults.isPoisonQuery()) {
            return;
        }
        EngineState blamedEngine = faults.blamedEngine();
        if (blamedEngine != null && blamedEngine != engine) {
            faults.markPoisonQuery();
            clearBlamedEngine(blamedEngine);
        } else {
            faults.blame(engine);
            if (engine.health().addError() >= MAX_CONSECUTIVE_ERRORS) {
                eject(now, engine, EjectionReason.FAILING); // fast errors make it look idle
            }
        }
    }

    private void clearBlamedEngine(EngineState engine) {
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
