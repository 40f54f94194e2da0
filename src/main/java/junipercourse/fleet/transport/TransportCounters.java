package junipercourse.fleet.transport;

import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicLongArray;

/**
 * Counts what the transport has received, sent and dropped. Updated by its threads, read by any.
 */
public final class TransportCounters {
    private final AtomicLong received = new AtomicLong();
    private final AtomicLong receivedBytes = new AtomicLong();
    private final AtomicLong sent = new AtomicLong();
    private final AtomicLong sentBytes = new AtomicLong();
    private final AtomicLongArray dropped = new AtomicLongArray(DropReason.values().length);

    void received(int bytes) {
        received.incrementAndGet();
        receivedBytes.addAndGet(bytes);
    }

    void sent(int bytes) {
        sent.incrementAndGet();
        sentBytes.addAndGet(bytes);
    }

    void countDrop(DropReason reason) {
        dropped.incrementAndGet(reason.ordinal());
    }

    /** Returns the datagrams received, dropped ones included. */
    public long received() {
        return received.get();
    }

    /** Returns the bytes received. */
    public long receivedBytes() {
        return receivedBytes.get();
    }

    /** Returns the datagrams sent. */
    public long sent() {
        return sent.get();
    }

    /** Returns the bytes sent. */
    public long sentBytes() {
        return sentBytes.get();
    }

    /** Returns the datagrams dropped for a reason. */
    public long dropped(DropReason reason) {
        return dropped.get(reason.ordinal());
    }
}
