package junipercourse.core;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;

/**
 * A table of numbered slots. A freed slot is reused with another generation, so that the id of an
 * earlier item finds nothing. Ids are above 0 and below 2^52.
 */
public final class SlotTable<T> {
    private static final int INDEX_BITS = 20;
    private static final long INDEX_MASK = (1L << INDEX_BITS) - 1;
    private static final long GENERATIONS = 1L << 31;

    private final List<T> items = new ArrayList<>();
    private final List<Long> generations = new ArrayList<>();
    private final List<Integer> freeIndexes = new ArrayList<>();
    private int usedCount;

    /** Puts an item into a free slot and returns its id. */
    public long add(T item) {
        int index;
        if (freeIndexes.isEmpty()) {
            index = items.size();
            if (index > INDEX_MASK) {
                throw new IllegalStateException("no free slot");
            }
            items.add(item);
            generations.add(1L);
        } else {
            index = freeIndexes.remove(freeIndexes.size() - 1);
            items.set(index, item);
        }
        usedCount++;
        return generations.get(index) << INDEX_BITS | index;
    }

    /** Returns the item with that id, or null if it has been removed. */
    public T get(long id) {
        int index = (int) (id & INDEX_MASK);
        boolean isCurrent = index < items.size() && generations.get(index) == id >> INDEX_BITS;
        return isCurrent ? items.get(index) : null;
    }

    /** Returns the item whose id has these lower 32 bits, or null. */
    public T findByLowerBits(int lowerBits) {
        int index = (int) (lowerBits & INDEX_MASK);
        long id = index < items.size() ? generations.get(index) << INDEX_BITS | index : 0;
        return id != 0 && (int) id == lowerBits ? items.get(index) : null;
    }

    /** Frees the slot of an item; the id of an earlier item is ignored. */
    public void remove(long id) {
        if (get(id) != null) {
            int index = (int) (id & INDEX_MASK);
            items.set(index, null);
            generations.set(index, (generations.get(index) + 1) % GENERATIONS);
            freeIndexes.add(index);
            usedCount--;
        }
    }

    /** Returns all items. */
    public List<T> all() {
        return items.stream().filter(Objects::nonNull).toList();
    }

    /** Returns the number of items. */
    public int size() {
        return usedCount;
    }
}
