package junipercourse.handover;

import java.util.BitSet;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.IntPredicate;
import junipercourse.core.QueryIdRegistry;
import net.openhft.hashing.LongHashFunction;

/**
 * A registry of query ids in {@link SharedMemory}, as hashes. After the end of a process, however
 * it ends, the ids of queries that must not be repeated stay held; the next process with its number
 * takes them over.
 */
public final class SharedQueryIds implements QueryIdRegistry {
    /** The word with the number of indexes that may hold an id. */
    private static final int COUNT_WORD = 0;

    private static final int FIRST_WORD = 1;

    /** Open queries and abandoned ones of one process are fewer. */
    static final int MAX_IDS = 15_000;

    /** The first word of a segment that holds something else. */
    static final int END_WORD = FIRST_WORD + MAX_IDS;

    private static final long NO_ID = 0;

    /** The lowest bit of a word tells whether the query may be repeated; the others are a hash. */
    private static final long MAY_REPEAT = 1;

    private static final long HASH_BITS = ~MAY_REPEAT;

    private final LongHashFunction hashFunction = LongHashFunction.xx3();
    private final SharedMemory memory;
    private final IntPredicate isProcessRunning;
    private final BitSet usedIndexes = new BitSet();
    private final Map<Long, Integer> ownIndexes = new HashMap<>();

    /** Ids that an ended process has left in this segment; they give way to new ones. */
    private final Map<Long, Integer> inheritedIndexes = new LinkedHashMap<>();

    /**
     * Takes over what this segment holds.
     *
     * @param isProcessRunning whether the process with another number runs
     */
    public SharedQueryIds(SharedMemory memory, IntPredicate isProcessRunning) {
        this.memory = memory;
        this.isProcessRunning = isProcessRunning;
        int count = indexCount(memory.processNumber());
        for (int i = 0; i < count; i++) {
            long word = memory.read(memory.processNumber(), FIRST_WORD + i);
            if (word != NO_ID && (word & MAY_REPEAT) == 0) {
                inheritedIndexes.put(word, i);
                usedIndexes.set(i);
            } else {
                memory.write(FIRST_WORD + i, NO_ID);
            }
        }
    }

    /** Never above the maximum: a damaged count must not lead out of the segment. */
    private int indexCount(int segment) {
        long count = memory.read(segment, COUNT_WORD);
        return (int) Math.min(Math.max(0, count), MAX_IDS);
    }

    /**
     * {@inheritDoc}
     *
     * <p>The id is written before the other segments are read. Of two processes that acquire an id
     * at the same time, at least one sees that the other does.
     */
    @Override
    public boolean acquire(String id, boolean mayRepeat) {
        long hash = hash(id);
        if (isHeldByAnother(hash)) {
            return false;
        }
        add(hash, mayRepeat);
        if (isHeldByAnother(hash)) {
            remove(hash);
            return false;
        }
        return true;
    }

    @Override
    public void release(String id) {
        remove(hash(id));
    }

    private long hash(String id) {
        long hash = hashFunction.hashChars(id) & HASH_BITS;
        return hash == NO_ID ? HASH_BITS : hash;
    }

    private boolean isHeldByAnother(long hash) {
        if (inheritedIndexes.containsKey(hash)) {
            return true;
        }
        for (int segment = 0; segment < memory.segmentCount(); segment++) {
            if (segment != memory.processNumber() && isHeldBy(segment, hash)) {
                return true;
            }
        }
        return false;
    }

    private boolean isHeldBy(int segment, long hash) {
        int count = indexCount(segment);
        for (int i = 0; i < count; i++) {
            long word = memory.read(segment, FIRST_WORD + i);
            if ((word & HASH_BITS) == hash) {
                return (word & MAY_REPEAT) == 0 || isProcessRunning.test(segment);
            }
        }
        return false;
    }

    /** Leaves out an id if all indexes hold open or abandoned queries of this process. */
    private void add(long hash, boolean mayRepeat) {
        int index = findFreeIndex();
        if (index < MAX_IDS && ownIndexes.putIfAbsent(hash, index) == null) {
            usedIndexes.set(index);
            memory.write(FIRST_WORD + index, hash | (mayRepeat ? MAY_REPEAT : 0));
            if (index >= indexCount(memory.processNumber())) {
                memory.write(COUNT_WORD, index + 1);
            }
        }
    }

    private int findFreeIndex() {
        int index = usedIndexes.nextClearBit(0);
        Iterator<Integer> inherited = inheritedIndexes.values().iterator();
        if (index >= MAX_IDS && inherited.hasNext()) {
            index = inherited.next();
            inherited.remove();
        }
        return index;
    }

    private void remove(long hash) {
        Integer index = ownIndexes.remove(hash);
        if (index != null) {
            memory.write(FIRST_WORD + index, NO_ID);
            usedIndexes.clear(index);
        }
    }
}
