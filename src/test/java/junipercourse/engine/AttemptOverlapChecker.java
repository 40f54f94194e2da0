package junipercourse.engine;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import junipercourse.SocketTestSupport;

/**
 * What engines of one query know: when it was posted and whether an attempt before was still out
 * then, by PROTOCOL: until its end is written, it is deleted, or nobody has asked for it for 2 s.
 * The first attempt meets a fault, later ones are answered.
 */
final class AttemptOverlapChecker {
    private static final double FORGOTTEN_S = 2.0;
    private final Function<String, String> fault;
    private final List<Double> posts = new ArrayList<>();
    private final List<String> calls = new ArrayList<>();
    private boolean out;
    private boolean twoOut;
    private double lastAsked;

    /** {@code fault} answers the calls for the first attempt. */
    AttemptOverlapChecker(Function<String, String> fault) {
        this.fault = fault;
    }

    /** The engine's script: the id tells nothing, as engines of a bench serve one query. */
    String answer(String call) {
        boolean first;
        synchronized (this) {
            double now = System.nanoTime() / 1e9;
            boolean post = call.startsWith("POST");
            calls.add(call.split(" ")[0] + " " + "%.3f".formatted(now));
            twoOut |= post && out && now - lastAsked < FORGOTTEN_S;
            if (post) {
                posts.add(now);
            }
            out |= post;
            lastAsked = call.startsWith("DELETE") ? lastAsked : now;
            first = posts.size() == 1;
        }
        String answer = first ? fault.apply(call) : SocketTestSupport.OK;
        synchronized (this) {
            boolean end =
                    !answer.equals(SocketTestSupport.RUNNING)
                            && !answer.equals(SocketTestSupport.NO_RESPONSE)
                            && !answer.equals(SocketTestSupport.CLOSE_CONNECTION)
                            && answer.startsWith("HTTP/");
            out &= !end;
        }
        return answer;
    }

    synchronized int posts() {
        return posts.size();
    }

    synchronized boolean twoOut() {
        return twoOut;
    }

    /** Seconds from the first attempt's arrival to the last one's. */
    synchronized double spread() {
        return posts.isEmpty() ? 0 : posts.get(posts.size() - 1) - posts.get(0);
    }

    @Override
    public synchronized String toString() {
        return calls.toString();
    }
}
