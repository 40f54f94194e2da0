package junipercourse.scale;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonObject;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class ResultWriterTest {
    @TempDir private Path folder;

    @Test
    void eachMetricIsAppendedAsOneLineWithAllFields() throws IOException {
        Path file = folder.resolve("out.jsonl");
        new ResultWriter(file, "fleet", "8 cores", "after", 7)
                .add("calm", 720, "bytes_out", "B/s", 2700.5, 3100, 720);
        new ResultWriter(file, "fleet", "8 cores", "after", 7)
                .addInvalid("kill", 45, "settled", "s", 0, 0, 1, "\"full\"");
        List<String> lines = Files.readAllLines(file);
        assertEquals(2, lines.size());
        JsonObject first = Json.parse(lines.get(0)).asObject();
        assertEquals(
                List.of(
                        "suite", "play", "size", "variant", "seed", "day", "commit", "machine",
                        "figure", "unit", "median", "worst", "count", "counts", "why"),
                first.names());
        assertEquals(2700.5, first.getDouble("median", 0));
        assertEquals(720, first.getInt("size", 0));
        assertTrue(first.getBoolean("counts", false));
        JsonObject second = Json.parse(lines.get(1)).asObject();
        assertFalse(second.getBoolean("counts", true));
        assertEquals("\"full\"", second.getString("why", ""));
    }

    @Test
    void medianAndWorstAreComputedAlsoWhenAllValuesAreZero() {
        assertArrayEquals(new double[] {0, 0}, ResultWriter.medianAndWorst(0, 0, 0));
        assertArrayEquals(new double[] {0, 9}, ResultWriter.medianAndWorst(9, 0, 0));
        assertArrayEquals(
                new double[] {2700, 102_912}, ResultWriter.medianAndWorst(0.001, 2700, 102_912), 3);
    }

    @Test
    void notANumberIsRejectedAndNothingIsWritten() {
        ResultWriter results = new ResultWriter(folder.resolve("none"), "fleet", "", "", 1);
        assertThrows(
                IllegalArgumentException.class,
                () -> results.add("calm", 1, "settled", "s", Double.NaN, 0, 1));
        assertFalse(Files.exists(folder.resolve("none")));
    }
}
