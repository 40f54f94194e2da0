package junipercourse.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.List;
import org.junit.jupiter.api.Test;

class SlotTableTest {
    @Test
    void anIdOfAnEarlierHolderFindsNothing() {
        SlotTable<String> slots = new SlotTable<>();
        long a = slots.add("a");
        long b = slots.add("b");
        slots.remove(a);
        slots.remove(a);
        long c = slots.add("c");
        assertNotEquals(a, c);
        assertNull(slots.get(a));
        assertNull(slots.findByLowerBits((int) a));
        assertEquals("c", slots.findByLowerBits((int) c));
        assertEquals("b", slots.get(b));
        assertEquals(List.of("c", "b"), slots.all());
        assertEquals(2, slots.size());
    }
}
