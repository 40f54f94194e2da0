package junipercourse.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import junipercourse.core.Counters;
import junipercourse.core.StatusTables;
import org.junit.jupiter.api.Test;

/** Pins the names and columns of the tables that operators read with SHOW. */
class StatusTablesTest {
    @Test
    void tableAndColumnNamesAreStable() {
        StatusTables tables = ProcessStatusTables.create(null, new Counters(), null);
        assertEquals(
                List.of("side", "counter", "count"), List.of(tables.table("COUNTERS").columns()));
        assertEquals(List.of("figure", "value", "unit"), List.of(tables.table("stalls").columns()));
        assertEquals(
                List.of("share", "figure", "count"),
                List.of(tables.table("Descriptors").columns()));
        assertEquals(null, tables.table("fleet"), "added with a product file only");
    }
}
