package junipercourse.pg;

import java.util.ArrayDeque;
import junipercourse.liveness.ArrivalInterval;

/**
 * When the unprocessed bytes of a session arrived. A message that waits behind an open query keeps
 * the arrival of its own last byte, whatever arrives behind it.
 */
final class MessageArrivals {
    /** Limits memory use; the bytes of later reads count as read together. */
    private static final int MAX_READS = 64;

    /** A read of bytes up to an offset in the session's byte stream. */
    private record Read(long endOffset, ArrivalInterval arrival) {}

    private final ArrayDeque<Read> reads = new ArrayDeque<>();

    /** Records a read of bytes up to an offset, which is higher than all before. */
    void record(long endOffset, ArrivalInterval arrival) {
        ArrivalInterval joint = arrival;
        if (reads.size() >= MAX_READS) {
            joint = joined(reads.pollLast().arrival(), arrival);
        }
        reads.add(new Read(endOffset, joint));
    }

    private static ArrivalInterval joined(ArrivalInterval earlier, ArrivalInterval later) {
        return new ArrivalInterval(
                Math.min(earlier.earliest(), later.earliest()),
                Math.max(earlier.readAt(), later.readAt()));
    }

    /**
     * Returns when the byte before an offset arrived, and forgets the reads before it. The offset
     * is not lower than in the call before, and not above the last one recorded.
     */
    ArrivalInterval arrivalBefore(long offset) {
        while (reads.getFirst().endOffset() < offset) {
            reads.removeFirst();
        }
        return reads.getFirst().arrival();
    }

    /** Returns when the byte behind an offset may have arrived; infinity if there is none. */
    double earliestAfter(long offset) {
        for (Read read : reads) {
            if (read.endOffset() > offset) {
                return read.arrival().earliest();
            }
        }
        return Double.POSITIVE_INFINITY;
    }
}
