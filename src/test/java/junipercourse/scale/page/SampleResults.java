package junipercourse.scale.page;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;

/** Invented results for tests; no page shows them. */
final class SampleResults {
    private static final Path FOLDER = Path.of("src/test/resources/capacity");

    private SampleResults() {}

    static CapacityTables tables() throws IOException {
        return tables(lines());
    }

    static CapacityTables tables(List<ResultLine> lines) throws IOException {
        return new CapacityTables(new Measurements(lines), sizing());
    }

    static List<ResultLine> lines() throws IOException {
        return Measurements.read(FOLDER).lines();
    }

    static CapacityModel sizing() throws IOException {
        return CapacityModel.read(FOLDER.resolve("sample-roles.json"));
    }

    static String rolesText() throws IOException {
        return Files.readString(FOLDER.resolve("sample-roles.json"));
    }

    /** Creates a result of the calm scenario; it is valid if {@code why} is empty. */
    static ResultLine line(int size, long seed, double median, double worst, String why) {
        return new ResultLine(
                "fleet",
                "calm",
                size,
                "before",
                seed,
                "2026-01-01",
                "sample",
                "sample",
                "bytes_out",
                "B/s",
                median,
                worst,
                size,
                why.isEmpty(),
                why);
    }

    /** Returns the only row of a table that contains all these texts. */
    static String row(String table, String... texts) {
        List<String> rows =
                table.lines().filter(row -> Stream.of(texts).allMatch(row::contains)).toList();
        if (rows.size() != 1) {
            throw new AssertionError(
                    rows.size() + " rows with " + List.of(texts) + " in\n" + table);
        }
        return rows.get(0);
    }
}
