package junipercourse.decision.state;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import junipercourse.decision.api.RequestId;

/**
 * All requests that are open or have an attempt in flight, and the list of those that wait for an
 * engine. {@link #limitOpenRequests} limits its size.
 */
public final class RequestTable {
    // So many may always wait, since capacity becomes free within milliseconds.
    private static final int MIN_WAITING_REQUESTS = 4;

    private final Map<RequestId, PendingRequest> requests = new HashMap<>();
    private final List<PendingRequest> waiting = new ArrayList<>();
    private final KeyedRequestQueues keyedQueues = new KeyedRequestQueues();
    private final EvaluationQueue evaluations = new EvaluationQueue();
    private int maxOpenRequests = Integer.MAX_VALUE;
    private boolean admissionDue;

    /** Returns the queues of requests that are ordered by key. */
    public KeyedRequestQueues keyedQueues() {
        return keyedQueues;
    }

    /** Returns the schedule of evaluations. */
    public EvaluationQueue evaluations() {
        return evaluations;
    }

    /**
     * Limits the number of open requests; above it, waiting requests with the lowest priority are
     * shed.
     */
    public void limitOpenRequests(int limit) {
        maxOpenRequests = limit;
    }

    /** Adds a new request. */
    public void add(PendingRequest request) {
        requests.put(request.query().id(), request);
        keyedQueues.add(request);
    }

    /** Returns the request with this id; null if there is none. */
    public PendingRequest find(RequestId id) {
        return requests.get(id);
    }

    /**
     * Returns the attempt with this number if it is the active attempt of its request; null
     * otherwise.
     */
    public Attempt findActiveAttempt(RequestId id, int number) {
        PendingRequest request = requests.get(id);
        Attempt active = request == null ? null : request.activeAttempt();
        return active != null && active.number() == number ? active : null;
    }

    /** Marks a request as closed: it has its final answer, but attempts may still be in flight. */
    public void close(PendingRequest request) {
        request.close();
        waiting.remove(request);
    }

    /** Removes a request if it is closed and has no attempt in flight. */
    public void removeIfDone(PendingRequest request) {
        if (request.isClosed() && !request.hasOutstandingAttempts()) {
            requests.remove(request.query().id());
            keyedQueues.remove(request);
            scheduleAdmission();
        }
    }

    /** Adds a request to those that wait for an engine. */
    public void enqueue(PendingRequest request) {
        waiting.add(request);
        scheduleAdmission();
    }

    /** Returns the waiting requests. */
    public List<PendingRequest> waiting() {
        return Collections.unmodifiableList(waiting);
    }

    /** Sorts the waiting requests by descending priority, then by arrival. */
    public void sortWaiting() {
        waiting.sort(
                Comparator.<PendingRequest>comparingDouble(request -> -request.priority())
                        .thenComparingLong(PendingRequest::sequence));
    }

    /**
     * Calls {@code tryStart} for each waiting request in order, and removes those that it has
     * started.
     */
    public void removeIfStarted(Predicate<PendingRequest> tryStart) {
        waiting.removeIf(tryStart);
    }

    /** Returns the next waiting request to shed; null if the limit is not exceeded. */
    public PendingRequest nextToShed() {
        boolean isLimitExceeded =
                waiting.size() > MIN_WAITING_REQUESTS && requests.size() > maxOpenRequests;
        return isLimitExceeded ? waiting.get(waiting.size() - 1) : null;
    }

    /**
     * Schedules an admission pass: the state has changed in a way that may let waiting requests
     * start.
     */
    public void scheduleAdmission() {
        admissionDue = true;
    }

    /** Returns whether an admission pass is scheduled, and clears that. */
    public boolean pollAdmissionDue() {
        boolean wasDue = admissionDue;
        admissionDue = false;
        return wasDue;
    }
}
