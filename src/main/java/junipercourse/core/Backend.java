package junipercourse.core;

import java.net.InetSocketAddress;
import java.util.List;
import junipercourse.decision.api.AttemptOutcome;
import junipercourse.decision.api.EndpointUpdateKind;
import junipercourse.decision.api.EngineId;
import junipercourse.decision.api.EngineListing;

/** Runs queries on engines. */
public interface Backend {
    /** An engine of the endpoint list with its address. */
    record EngineEndpoint(EngineListing engine, InetSocketAddress address) {}

    /** Applies an update of the endpoint list, the same one that the decision module gets. */
    void updateEndpoints(EndpointUpdateKind kind, List<EngineEndpoint> endpoints);

    /**
     * Starts an attempt. The listener gets its completion exactly once, and never before this
     * method returns. An attempt of which nothing was written completes as {@link
     * AttemptOutcome#NOT_SENT}, unless its engine could not be reached.
     *
     * @param deadlineAt Unix time in seconds until which the attempt may take
     */
    Attempt startAttempt(EngineId engine, Query query, double deadlineAt, AttemptListener listener);

    /** A running attempt. */
    interface Attempt {
        /**
         * Aborts the attempt. If its request was written, it completes with the given outcome,
         * unless another completion is already on its way.
         */
        void abort(AttemptOutcome outcome);
    }

    /** The result of an attempt. It has pages only with {@link AttemptOutcome#OK}. */
    record AttemptCompletion(
            AttemptOutcome outcome,
            float[] loadReport,
            double actualCost,
            double actualMemoryMb,
            List<byte[]> pages) {
        private static final float[] NO_REPORT = {};

        /** Returns a completion that has only an outcome. */
        public static AttemptCompletion withOutcome(AttemptOutcome outcome) {
            return new AttemptCompletion(outcome, NO_REPORT, 0, 0, List.of());
        }
    }

    /** Receives the events of an attempt. */
    interface AttemptListener {
        void onCompleted(AttemptCompletion completion);

        /**
         * Called right before the first byte of the attempt's request is written, however long
         * after {@link #startAttempt} that is. If it returns false, nothing is written and the
         * attempt completes as {@link AttemptOutcome#NOT_SENT}.
         */
        default boolean maySendRequest() {
            return true;
        }

        /**
         * Called when the attempt's request has been written completely to its engine: at most
         * once, and before the completion.
         */
        default void onRequestWritten() {}
    }
}
