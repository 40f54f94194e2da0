package junipercourse.core;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;

/**
 * A table of numbered slots. A slot's number is used again once it is given back, but with another
 * generation, so that an id of an earlier holder finds nothing. Ids are above 0 and below 2^52.
 */
public final class SlotTable<T> {
    private static final int INDEX_BITS = 20;
    private static final long INDEX_MASK = (1L << INDEX_BITS) - 1;
    private static final long GENERATIONS = 1L << 31;

    private final List<T> items = new ArrayList<>();
    private final List<Long> generations = new ArrayList<>();
    private final List<Integer> free = new ArrayList<>();
    private int used;

    /** Takes a slot and returns its id. */
    public long add(T item) {
        int index;
        if (free.isEmpty()) {
            index = items.size();
            if (index > INDEX_MASK) {
                throw new IllegalStateException("no slot left");
            }
            items.add(item);
            generations.add(1L);
        } else {
            index = free.remove(free.size() - 1);
            items.set(index, item);
        }
        used++;
        return generations.get(index) << INDEX_BITS | index;
    }

    /** The holder of an id, or null once it has been given back. */
    public T get(long id) {
        int index = (int) (id & INDEX_MASK);
        boolean current = index < items.size() && generations.get(index) == id >> INDEX_BITS;
        return current ? items.get(index) : null;
    }

    /** The holder of the id with these lower 32 bits, or null. */
    public T findByLowerBits(int lowerBits) {
        int index = (int) (lowerBits & INDEX_MASK);
        long id = index < items.size() ? generations.get(index) << INDEX_BITS | index : 0;
        return id != 0 && (int) id == lowerBits ? items.get(index) : null;
    }

    /** Gives a slot back; an id of an earlier holder is ignored. */
    public void remove(long id) {
        if (get(id) != null) {
            int index = (int) (id & INDEX_MASK);
            items.set(index, null);
            generations.set(index, (generations.get(index) + 1) % GENERATIONS);
            free.add(index);
            used--;
        }
    }

    /** All holders. */
    public List<T> all() {
        return items.stream().filter(Objects::nonNull).toList();
    }

    /** How many slots are taken. */
    public int size() {
        return used;
    }
}
