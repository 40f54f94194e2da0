package junipercourse.decision.state;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import junipercourse.decision.api.AttemptOutcome;
import junipercourse.decision.api.QueryClass;
import junipercourse.decision.api.QueryRequest;

/** A request, from its arrival until it has its final answer and all of its attempts have ended. */
public final class PendingRequest {
    private final Map<Integer, Attempt> outstandingAttempts = new LinkedHashMap<>();
    private final List<EngineState> candidateEngines = new ArrayList<>();
    private final QueryFaults faults = new QueryFaults();
    private final QueryRequest query;
    private final ClassStatistics classStatistics;
    private final double receivedAt;
    private final double admissionDraw;
    private final long sequence;
    private final boolean overQuota;
    private Attempt activeAttempt;
    private Attempt firstExecutedAttempt;
    private int attemptCount;
    private int notSentCount;
    private boolean restarting;
    private boolean closed;
    private boolean responding;
    private EngineState previousEngine;
    private double priority;
    private double nextEvaluationAt = Double.POSITIVE_INFINITY;
    private double awaitReportsUntil;

    /**
     * Creates a request.
     *
     * @param receivedAt time of arrival
     * @param sequence position in the order of arrival
     * @param overQuota whether its tenant is over quota
     * @param admissionDraw random number from 0 to 1 for probabilistic admission
     */
    public PendingRequest(
            QueryRequest query,
            ClassStatistics classStatistics,
            double receivedAt,
            long sequence,
            boolean overQuota,
            double admissionDraw) {
        this.query = query;
        this.classStatistics = classStatistics;
        this.receivedAt = receivedAt;
        this.sequence = sequence;
        this.overQuota = overQuota;
        this.admissionDraw = admissionDraw;
    }

    /** Returns the query as the client sent it. */
    public QueryRequest query() {
        return query;
    }

    /** Returns its query class. */
    public QueryClass queryClass() {
        return classStatistics.queryClass();
    }

    /** Returns the statistics of its query class. */
    public ClassStatistics classStatistics() {
        return classStatistics;
    }

    /** Returns the time of arrival. */
    public double receivedAt() {
        return receivedAt;
    }

    /** Returns its position in the order of arrival. */
    public long sequence() {
        return sequence;
    }

    /** Returns true if its tenant was over quota when it arrived. */
    public boolean isOverQuota() {
        return overQuota;
    }

    /** Returns the random number, from 0 to 1, for probabilistic admission. */
    public double admissionDraw() {
        return admissionDraw;
    }

    /** Returns the group of tables that it reads or writes. */
    public float tableGroup() {
        return query.tableGroup();
    }

    /** Returns the time at which its final answer is due, shortly before the deadline. */
    public double answerDueAt() {
        return query.deadlineAt() - DecisionDefaults.ANSWER_LEAD_SECONDS;
    }

    /** Returns true if the client sent an estimate of its work. */
    public boolean hasCostEstimate() {
        return query.costEstimate() > 0;
    }

    /**
     * Returns the latency on an idle engine according to the estimate, in seconds; 1 without an
     * estimate.
     */
    public double unloadedLatency() {
        return hasCostEstimate() ? query.costEstimate() / queryClass().threads() : 1;
    }

    /** Returns the engines considered for its next attempt; the caller may change the list. */
    public List<EngineState> candidateEngines() {
        return candidateEngines;
    }

    /** Returns the attempt whose result it waits for; null if there is none. */
    public Attempt activeAttempt() {
        return activeAttempt;
    }

    /** Returns the first attempt that may have had an effect; null if there is none. */
    public Attempt firstExecutedAttempt() {
        return firstExecutedAttempt;
    }

    /** Returns true if at least one attempt has not ended yet. */
    public boolean hasOutstandingAttempts() {
        return !outstandingAttempts.isEmpty();
    }

    /** Removes and returns an attempt that has ended; null if there is no such attempt. */
    public Attempt removeOutstandingAttempt(int number) {
        return outstandingAttempts.remove(number);
    }

    /** Returns the number of attempts, whether sent or not. */
    public int attemptCount() {
        return attemptCount;
    }

    /** Returns the number of attempts of which an engine may have received at least one byte. */
    public int sentAttemptCount() {
        return attemptCount - notSentCount;
    }

    /** Returns true if its next attempt is a restart of one that exceeded its cutoff. */
    public boolean isRestarting() {
        return restarting;
    }

    /** Marks its next attempt as a restart. */
    public void markRestarting() {
        restarting = true;
    }

    /** Returns true after it got its final answer. */
    public boolean isClosed() {
        return closed;
    }

    void close() {
        closed = true;
    }

    /** Returns true after the response to the client has begun. */
    public boolean isResponding() {
        return responding;
    }

    /**
     * Records that the response to the client has begun: the active attempt can no longer be
     * cancelled or restarted.
     */
    public void startResponse() {
        activeAttempt = null;
        responding = true;
    }

    /** Returns the engine of its previous attempt; null if there is none. */
    public EngineState previousEngine() {
        return previousEngine;
    }

    /** Sets the engine of its previous attempt. */
    public void setPreviousEngine(EngineState engine) {
        previousEngine = engine;
    }

    /** Returns the errors of its attempts. */
    public QueryFaults faults() {
        return faults;
    }

    /** Returns its priority in the admission queue; requests with a higher priority start first. */
    public double priority() {
        return priority;
    }

    /** Sets its priority in the admission queue. */
    public void setPriority(double value) {
        priority = value;
    }

    /** Returns the time until which it waits for load probes of its candidates. */
    public double awaitReportsUntil() {
        return awaitReportsUntil;
    }

    /** Sets the time until which it waits for load probes of its candidates. */
    public void awaitReports(double until) {
        awaitReportsUntil = until;
    }

    double nextEvaluationAt() {
        return nextEvaluationAt;
    }

    void setNextEvaluationAt(double time) {
        nextEvaluationAt = time;
    }

    int nextAttemptNumber() {
        return attemptCount++;
    }

    void begin(Attempt attempt) {
        activeAttempt = attempt;
        outstandingAttempts.put(attempt.number(), attempt);
    }

    void end(Attempt attempt, AttemptOutcome outcome) {
        notSentCount += outcome == AttemptOutcome.NOT_SENT ? 1 : 0;
        if (firstExecutedAttempt == null && !outcome.neverRan()) {
            firstExecutedAttempt = attempt;
        }
        if (activeAttempt == attempt) {
            activeAttempt = null;
        }
    }
}
