package junipercourse.decision.state;

import java.util.LinkedHashSet;
import java.util.Set;

/**
 * Recent activity and errors of one engine, and whether it is ejected. Updated by the outlier
 * detector and by attempts.
 */
public final class EngineHealth {
    private final Set<Attempt> silentAttempts = new LinkedHashSet<>();
    private double lastActivityAt;
    private double lastAnswerAt = Double.NEGATIVE_INFINITY;
    private double silentSince = Double.NEGATIVE_INFINITY;
    private int consecutiveErrors;
    private int consecutiveResets;
    private boolean ejected;
    private boolean ejectedForErrors;
    private double nextProbationAt;
    private double ejectionBackoffSeconds;

    /** Records activity of an attempt, which shows that the engine does not hang. */
    public void recordActivity(double now) {
        lastActivityAt = now;
        silentAttempts.clear();
    }

    /** Records a complete answer, which resets the error counts. */
    public void recordAnswer(double now) {
        recordActivity(now);
        lastAnswerAt = now;
        consecutiveErrors = 0;
        consecutiveResets = 0;
    }

    void restartActivityClock(double now) {
        lastActivityAt = now;
    }

    void removeSilentAttempt(Attempt attempt) {
        silentAttempts.remove(attempt);
    }

    /** Returns the time of the last activity. */
    public double lastActivityAt() {
        return lastActivityAt;
    }

    /** Returns the time of the last complete answer; negative infinity before the first. */
    public double lastAnswerAt() {
        return lastAnswerAt;
    }

    /** Adds an attempt that waits without activity; returns the number of such attempts. */
    public int addSilentAttempt(Attempt attempt) {
        silentAttempts.add(attempt);
        return silentAttempts.size();
    }

    /** Records since when the engine hangs. */
    public void setSilentSince(double since) {
        silentSince = since;
    }

    /** Returns the time since which the engine hangs; negative infinity if it does not. */
    public double silentSince() {
        return silentSince;
    }

    /** Counts an error; returns the number of errors since the last answer. */
    public int addError() {
        return ++consecutiveErrors;
    }

    /**
     * Subtracts an error that was caused by the query and not by the engine; returns the remaining
     * number.
     */
    public int removeError() {
        return --consecutiveErrors;
    }

    /** Returns the number of errors since the last answer. */
    public int consecutiveErrors() {
        return consecutiveErrors;
    }

    /** Counts a broken or refused connection; returns their number since the last answer. */
    public int addReset() {
        return ++consecutiveResets;
    }

    /** Returns true while the engine is ejected. */
    public boolean isEjected() {
        return ejected;
    }

    /** Returns true if the engine was ejected because of errors. */
    public boolean isEjectedForErrors() {
        return ejectedForErrors;
    }

    /**
     * Returns the time from which an ejected engine may receive a single attempt as a probation.
     */
    public double nextProbationAt() {
        return nextProbationAt;
    }

    /** Returns the current backoff between probations, in seconds. */
    public double ejectionBackoffSeconds() {
        return ejectionBackoffSeconds;
    }

    /** Schedules the next probation after a backoff. */
    public void scheduleProbation(double now, double backoffSeconds) {
        ejectionBackoffSeconds = backoffSeconds;
        nextProbationAt = now + backoffSeconds;
    }

    /** Ejects the engine; {@code forErrors} is true if that is because of errors. */
    public void eject(boolean forErrors) {
        ejected = true;
        ejectedForErrors = forErrors;
    }

    /** Ends the ejection. */
    public void reinstate() {
        ejected = false;
        ejectedForErrors = false;
        silentSince = Double.NEGATIVE_INFINITY;
    }
}
