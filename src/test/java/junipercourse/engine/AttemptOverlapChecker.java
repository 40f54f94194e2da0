package junipercourse.engine;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import junipercourse.SocketTestSupport;

/**
 * Script of the engines of one query. Records each POST and whether it arrived while an earlier
 * attempt could still run; by PROTOCOL an attempt ends when its outcome is written, it is deleted
 * or it is not polled for 2 s. The first attempt meets a fault, later ones succeed.
 */
final class AttemptOverlapChecker {
    private static final double QUERY_EXPIRY_SECONDS = 2.0;
    private final Function<String, String> fault;
    private final List<Double> postTimes = new ArrayList<>();
    private final List<String> calls = new ArrayList<>();
    private boolean isAttemptRunning;
    private boolean hasOverlap;
    private double lastPolledAt;

    /** {@code fault} answers the calls for the first attempt. */
    AttemptOverlapChecker(Function<String, String> fault) {
        this.fault = fault;
    }

    /** Answers a call; its query id is ignored, as the engines of a test serve one query. */
    String respond(String call) {
        boolean isFirstAttempt;
        synchronized (this) {
            double now = System.nanoTime() / 1e9;
            boolean isPost = call.startsWith("POST");
            calls.add(call.split(" ")[0] + " " + "%.3f".formatted(now));
            hasOverlap |= isPost && isAttemptRunning && now - lastPolledAt < QUERY_EXPIRY_SECONDS;
            if (isPost) {
                postTimes.add(now);
            }
            isAttemptRunning |= isPost;
            lastPolledAt = call.startsWith("DELETE") ? lastPolledAt : now;
            isFirstAttempt = postTimes.size() == 1;
        }
        String answer = isFirstAttempt ? fault.apply(call) : SocketTestSupport.OK;
        synchronized (this) {
            boolean isCompletion =
                    !answer.equals(SocketTestSupport.RUNNING)
                            && !answer.equals(SocketTestSupport.NO_RESPONSE)
                            && !answer.equals(SocketTestSupport.CLOSE_CONNECTION)
                            && answer.startsWith("HTTP/");
            isAttemptRunning &= !isCompletion;
        }
        return answer;
    }

    synchronized int postCount() {
        return postTimes.size();
    }

    synchronized boolean hasOverlap() {
        return hasOverlap;
    }

    /** Seconds from the first POST to the last one. */
    synchronized double secondsBetweenPosts() {
        return postTimes.isEmpty() ? 0 : postTimes.get(postTimes.size() - 1) - postTimes.get(0);
    }

    @Override
    public synchronized String toString() {
        return calls.toString();
    }
}
