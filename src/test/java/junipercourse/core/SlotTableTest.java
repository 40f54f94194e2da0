package junipercourse.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.List;
import org.junit.jupiter.api.Test;

class SlotTableTest {
    @Test
    void idOfRemovedItemFindsNothingAfterSlotReuse() {
        SlotTable<String> slots = new SlotTable<>();
        long removedId = slots.add("a");
        long keptId = slots.add("b");
        slots.remove(removedId);
        slots.remove(removedId);
        long reusingId = slots.add("c");
        assertNotEquals(removedId, reusingId);
        assertNull(slots.get(removedId));
        assertNull(slots.findByLowerBits((int) removedId));
        assertEquals("c", slots.findByLowerBits((int) reusingId));
        assertEquals("b", slots.get(keptId));
        assertEquals(List.of("c", "b"), slots.all());
        assertEquals(2, slots.size());
    }
}
