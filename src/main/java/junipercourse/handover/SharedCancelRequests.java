package junipercourse.handover;

import java.util.function.LongConsumer;

/**
 * Passes cancel requests on to the other processes of a dispatcher. A cancel request comes over a
 * connection of its own, which any of the processes may accept. Each has a ring of the last keys
 * that it did not know in its segment of {@link SharedMemory}, and reads the others' rings.
 */
public final class SharedCancelRequests {
    private static final int RING_SIZE = 1024;

    /** The word with the number of requests written so far; the ring follows. */
    private static final int COUNT_WORD = SharedQueryIds.END_WORD;

    private static final int RING_WORD = COUNT_WORD + 1;

    private final SharedMemory memory;
    private final long[] readCounts;

    /** Ignores the requests that were written before. */
    public SharedCancelRequests(SharedMemory memory) {
        this.memory = memory;
        readCounts = new long[memory.segmentCount()];
        for (int segment = 0; segment < readCounts.length; segment++) {
            readCounts[segment] = memory.read(segment, COUNT_WORD);
        }
    }

    /** Writes a key for the other processes. */
    public void send(long key) {
        long count = memory.read(memory.processNumber(), COUNT_WORD);
        memory.write(RING_WORD + ringIndex(count), key);
        memory.write(COUNT_WORD, count + 1);
    }

    /**
     * Reads the keys that the other processes have written since the last call. If they have
     * written more than the ring holds, the oldest are lost.
     */
    public void receive(LongConsumer receiver) {
        for (int segment = 0; segment < readCounts.length; segment++) {
            if (segment != memory.processNumber()) {
                receive(segment, receiver);
            }
        }
    }

    private void receive(int segment, LongConsumer receiver) {
        long count = memory.readFirst(segment, COUNT_WORD);
        long first = Math.max(readCounts[segment], count - RING_SIZE);
        readCounts[segment] = count;
        for (long i = first; i < count; i++) {
            receiver.accept(memory.read(segment, RING_WORD + ringIndex(i)));
        }
    }

    private static int ringIndex(long count) {
        return (int) Math.floorMod(count, (long) RING_SIZE);
    }
}
