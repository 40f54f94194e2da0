package junipercourse.core;

import java.net.InetSocketAddress;
import java.util.List;
import junipercourse.decision.api.AttemptOutcome;
import junipercourse.decision.api.EndpointUpdateKind;
import junipercourse.decision.api.EngineId;
import junipercourse.decision.api.EngineListing;

/** What runs queries. */
public interface Backend {
    /** An engine of the list and where it listens. */
    record EngineEndpoint(EngineListing engine, InetSocketAddress address) {}

    /** News of the engine list, as it was told to the module. */
    void updateEndpoints(EndpointUpdateKind kind, List<EngineEndpoint> endpoints);

    /**
     * Starts an attempt. Its end is told exactly once, and never before this call has returned. One
     * of which nothing was written ends as {@link AttemptOutcome#NOT_SENT}, unless its engine could
     * not be reached.
     *
     * @param giveUpAt Unix time in seconds until which the attempt is waited for
     */
    Attempt startAttempt(EngineId engine, Query query, double deadlineAt, AttemptListener listener);

    /** An attempt that is out. */
    interface Attempt {
        /**
         * Gives the attempt up; unless another end is on its way already, it ends so if it was
         * written.
         */
        void abort(AttemptOutcome outcome);
    }

    /** How an attempt ended. Pages are there with {@link AttemptOutcome#OK} only. */
    record AttemptCompletion(
            AttemptOutcome outcome,
            float[] loadReport,
            double actualCost,
            double actualMemoryMb,
            List<byte[]> pages) {
        private static final float[] NO_REPORT = {};

        /** An end without any news but its outcome. */
        public static AttemptCompletion withOutcome(AttemptOutcome outcome) {
            return new AttemptCompletion(outcome, NO_REPORT, 0, 0, List.of());
        }
    }

    /** Is told an attempt's end. */
    interface AttemptListener {
        void onCompleted(AttemptCompletion completion);

        /**
         * Asked right before the first byte of the attempt's request, however long after {@link
         * #start} that is: false ends it unwritten, as {@link AttemptOutcome#NOT_SENT}.
         */
        default boolean maySendRequest() {
            return true;
        }

        /**
         * The attempt's request has been written whole to its engine; told once at most, before its
         * end.
         */
        default void onRequestWritten() {}
    }
}
