package junipercourse.pg;

import java.nio.ByteBuffer;
import junipercourse.liveness.ArrivalInterval;

/** The bytes received from one client that are not processed yet, within bounds. */
final class SessionInput {
    private static final int TYPICAL_QUERY_BYTES = 4 * 1024; // exempt from the shared limit
    private static final int MAX_PIPELINED_BYTES = 16 * 1024; // sent during a query
    private static final int MAX_DISCARDED_BYTES = 1 << 20; // sent beyond those

    private final PgServer server;
    private final FrontendMessageDecoder decoder = new FrontendMessageDecoder();
    private final MessageArrivals arrivals = new MessageArrivals();
    private long appendedBytes;
    private int reportedBytes;
    private long discardedBytes;

    SessionInput(PgServer server) {
        this.server = server;
    }

    /**
     * Adds received bytes and discards what exceeds the limit for bytes sent during a query.
     * Reading goes on, since only that detects a disconnect and cancels the query. After a discard
     * the session is closed later.
     */
    void append(ByteBuffer bytes, ArrivalInterval arrival, boolean hasOpenQuery) {
        if (discardedBytes > 0 || hasOpenQuery) {
            int capacity =
                    discardedBytes > 0 ? 0 : Math.max(0, MAX_PIPELINED_BYTES - bufferedBytes());
            int excessBytes = Math.max(0, bytes.remaining() - capacity);
            discardedBytes += excessBytes;
            bytes.limit(bytes.limit() - excessBytes);
        }
        if (bytes.hasRemaining()) {
            appendedBytes += bytes.remaining();
            arrivals.record(appendedBytes, arrival);
            decoder.append(bytes);
        }
    }

    /** Returns when the last byte of the message arrived that the decoder returned last. */
    ArrivalInterval messageArrival() {
        return arrivals.arrivalBefore(appendedBytes - decoder.bufferedBytes());
    }

    /** Returns when the oldest unprocessed byte may have arrived; infinity if there is none. */
    double unprocessedSince() {
        return arrivals.earliestAfter(appendedBytes - decoder.bufferedBytes());
    }

    FrontendMessageDecoder decoder() {
        return decoder;
    }

    int bufferedBytes() {
        return decoder.bufferedBytes();
    }

    /** Whether no more than the largest message is held. */
    boolean hasRoom() {
        return bufferedBytes() < FrontendMessageDecoder.MAX_MESSAGE_BYTES + 5;
    }

    /** Whether bytes had to be discarded: the messages behind them cannot be read. */
    boolean hasDiscarded() {
        return discardedBytes > 0;
    }

    /** Whether so much had to be discarded that the session must not wait for its query. */
    boolean hasExcess() {
        return discardedBytes > MAX_DISCARDED_BYTES;
    }

    /**
     * Reports the bytes held here to the server. Returns false if the server holds too many for all
     * clients together and this one holds more than a typical query.
     */
    boolean reportHeldBytes() {
        int growth = bufferedBytes() - reportedBytes;
        reportedBytes = bufferedBytes();
        return server.addBufferedBytes(growth) || bufferedBytes() <= TYPICAL_QUERY_BYTES;
    }

    /** Reports that the session holds nothing any more. */
    void release() {
        server.addBufferedBytes(-reportedBytes);
        reportedBytes = 0;
    }
}
