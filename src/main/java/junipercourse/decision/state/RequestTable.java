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
 * All requests that are open or have an attempt in flight, and those of them that wait for an
 * engine. Bounded by {@link #limitOpenRequests}.
 */
public final class RequestTable {
    private static final int MIN_WAITING_REQUESTS =
            4; // may always wait: capacity frees up within milliseconds

    private final Map<RequestId, PendingRequest> requests = new HashMap<>();
    private final List<PendingRequest> waiting = new ArrayList<>();
    private final KeyedRequestQueues keyedQueues = new KeyedRequestQueues();
    private final EvaluationQueue evaluations = new EvaluationQueue();
    private int maxOpenRequests = Integer.MAX_VALUE;
    private boolean admissionDue;

    /** Returns the order of requests by key. */
    public KeyedRequestQueues keyedQueues() {
        return keyedQueues;
    }

    /** Returns the schedule of evaluations. */
    public EvaluationQueue evaluations() {
        return evaluations;
    }

    /** Bounds the open requests; those that wait with the lowest priority are shed above it. */
    public void limitOpenRequests(int limit) {
        maxOpenRequests = limit;
    }

    /** Adds a new request. */
    public void add(PendingRequest request) {
        requests.put(request.query().id(), request);
        keyedQueues.add(request);
    }

    /** Returns a request; null if there is no such request. */
    public PendingRequest find(RequestId id) {
        return requests.get(id);
    }

    /** Returns an attempt if its request waits for it; null otherwise. */
    public Attempt findActiveAttempt(RequestId id, int number) {
        PendingRequest request = requests.get(id);
        Attempt active = request == null ? null : request.activeAttempt();
        return active != null && active.number() == number ? active : null;
    }

    /** Notes that a request has its final answer; its attempts may still be in flight. */
    public void close(PendingRequest request) {
        request.close();
        waiting.remove(request);
    }

    /** Removes a request that is closed and has no attempt in flight. */
    public void removeIfDone(PendingRequest request) {
        if (request.isClosed() && !request.hasOutstandingAttempts()) {
            requests.remove(request.query().id());
            keyedQueues.remove(request);
            scheduleAdmission();
        }
    }

    /** Makes a request wait for an engine. */
    public void enqueue(PendingRequest request) {
        waiting.add(request);
        scheduleAdmission();
    }

    /** Returns the waiting requests. */
    public List<PendingRequest> waiting() {
        return Collections.unmodifiableList(waiting);
    }

    /** Sorts the waiting requests by priority, then by arrival. */
    public void sortWaiting() {
        waiting.sort(
                Comparator.<PendingRequest>comparingDouble(request -> -request.priority())
                        .thenComparingLong(PendingRequest::sequence));
    }

    /** Offers the waiting requests in order and removes those that were started. */
    public void removeIfStarted(Predicate<PendingRequest> tryStart) {
        waiting.removeIf(tryStart);
    }

    /** Returns the waiting request to shed next; null while the bound is kept. */
    public PendingRequest nextToShed() {
        boolean isLimitExceeded =
                waiting.size() > MIN_WAITING_REQUESTS && requests.size() > maxOpenRequests;
        return isLimitExceeded ? waiting.get(waiting.size() - 1) : null;
    }

    /** Notes that something has changed so that waiting requests may start. */
    public void scheduleAdmission() {
        admissionDue = true;
    }

    /** Returns whether waiting requests may start, and resets it. */
    public boolean pollAdmissionDue() {
        boolean due = admissionDue;
        admissionDue = false;
        return due;
    }
}
