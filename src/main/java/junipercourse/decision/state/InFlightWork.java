package junipercourse.decision.state;

import java.util.HashMap;
import java.util.Map;

/**
 * The attempts of this dispatcher in flight at one engine, and the threads and memory that they
 * use.
 */
public final class InFlightWork {
    private final Map<Float, Integer> loadCountsByTableGroup = new HashMap<>();
    private int attemptCount;
    private double threads;
    private double memoryMb;
    private double overlongThreads;

    /** Returns the number of attempts. */
    public int attemptCount() {
        return attemptCount;
    }

    /** Returns the threads that the attempts use. */
    public double threads() {
        return threads;
    }

    /** Returns the memory granted to the attempts, in MB. */
    public double memoryMb() {
        return memoryMb;
    }

    /** Returns the threads of attempts that have run for far longer than expected. */
    public double overlongThreads() {
        return overlongThreads;
    }

    /** Returns true if one of the attempts locks a table group. */
    public boolean locksTableGroup(float tableGroup) {
        return loadCountsByTableGroup.containsKey(tableGroup);
    }

    void reserve(PendingRequest request, double grantMb) {
        attemptCount++;
        threads += request.queryClass().threads();
        memoryMb += grantMb;
        if (request.queryClass().loadsTables()) {
            loadCountsByTableGroup.merge(request.tableGroup(), 1, Integer::sum);
        }
    }

    void release(Attempt attempt) {
        PendingRequest request = attempt.request();
        int releasedThreads = request.queryClass().threads();
        attemptCount--;
        overlongThreads -= attempt.isOverlong() ? releasedThreads : 0;
        threads = attemptCount == 0 ? 0 : threads - releasedThreads;
        memoryMb = attemptCount == 0 ? 0 : memoryMb - attempt.memoryMb();
        if (request.queryClass().loadsTables()) {
            loadCountsByTableGroup.computeIfPresent(
                    request.tableGroup(), (group, count) -> count > 1 ? count - 1 : null);
        }
    }

    void addOverlongThreads(int threadCount) {
        overlongThreads += threadCount;
    }
}
