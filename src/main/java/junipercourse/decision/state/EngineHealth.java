package junipercourse.decision.state;

import java.util.LinkedHashSet;
import java.util.Set;

/**
 * The signs of life and faults of one engine, and whether it is ejected. Changed by the outlier
 * detector and by the attempts themselves.
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

    /** Notes activity of any attempt: the engine does not hang. */
    public void recordActivity(double now) {
        lastActivityAt = now;
        silentAttempts.clear();
    }

    /** Notes a complete answer. */
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

    /** Adds an attempt to those that wait without activity; returns their number. */
    public int addSilentAttempt(Attempt attempt) {
        silentAttempts.add(attempt);
        return silentAttempts.size();
    }

    /** Notes that the engine hangs since a time. */
    public void setSilentSince(double since) {
        silentSince = since;
    }

    /** Returns the time since which the engine hangs; negative infinity if it does not. */
    public double silentSince() {
        return silentSince;
    }

    /** Counts an error; returns how many there were since the last answer. */
    public int addError() {
        return ++consecutiveErrors;
    }

    /** Takes back an error that turned out to be the query's fault; returns those that remain. */
    public int removeError() {
        return --consecutiveErrors;
    }

    /** Returns the errors since the last answer. */
    public int consecutiveErrors() {
        return consecutiveErrors;
    }

    /** Counts a broken or refused connection; returns how many there were since the last answer. */
    public int addReset() {
        return ++consecutiveResets;
    }

    /** Returns true while the engine is ejected. */
    public boolean isEjected() {
        return ejected;
    }

    /** Returns true if the engine was ejected because of its errors. */
    public boolean isEjectedForErrors() {
        return ejectedForErrors;
    }

    /** Returns the time from which an ejected engine may get a single attempt. */
    public double nextProbationAt() {
        return nextProbationAt;
    }

    /** Returns the seconds between probations. */
    public double ejectionBackoffSeconds() {
        return ejectionBackoffSeconds;
    }

    /** Schedules the next probation after so many seconds. */
    public void scheduleProbation(double now, double backoffSeconds) {
        ejectionBackoffSeconds = backoffSeconds;
        nextProbationAt = now + backoffSeconds;
    }

    /** Ejects the engine. */
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
