package junipercourse.scale.page;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import junipercourse.scale.page.Measurements.Point;
import junipercourse.scale.page.Series.Statistic;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests strict parsing, merging of repeated runs and exclusion of invalid results. */
class MeasurementsTest {
    private static final Series CALM = new Series("fleet", "calm", "bytes_out", "before");
    private static final String GOOD =
            "{\"suite\":\"fleet\",\"play\":\"calm\",\"size\":720,\"variant\":\"after\","
                    + "\"seed\":1,\"day\":\"2026-01-01\",\"commit\":\"c\","
                    + "\"machine\":\"m\",\"figure\":\"bytes_out\","
                    + "\"unit\":\"B/s\",\"median\":2700.0,\"worst\":3100.0,"
                    + "\"count\":720,\"counts\":true,\"why\":\"\"}";
    @TempDir private Path folder;

    @Test
    void readsALine() {
        ResultLine line = ResultLine.read(GOOD);
        assertEquals(2700, line.median());
        assertEquals(new Series("fleet", "calm", "bytes_out", "after"), Series.of(line));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "\"suite\":\"fleet\"=\"suite\":\"flet\"",
                "\"seed\":1,=",
                "\"size\":720=\"size\":-1",
                "\"median\":2700.0=\"median\":\"2700\"",
                "\"median\":2700.0=\"median\":null",
                "}=,\"more\":1}",
                "\"counts\":true=\"counts\":false",
                "}=",
                "\"play\":\"calm\"=\"play\":\"a|b\"",
                "\"play\":\"calm\"=\"play\":\"<!-- end -->\"",
                "\"seed\":1=\"seed\":1,\"seed\":2"
            })
    void malformedLineIsRejected(String change) {
        String[] parts = change.split("=", 2);
        assertThrows(
                IllegalArgumentException.class,
                () -> ResultLine.read(GOOD.replace(parts[0], parts[1])));
    }

    @Test
    void errorInAFileNamesFileAndLine() throws IOException {
        Files.writeString(folder.resolve("a.jsonl"), GOOD + "\n\n{}\n");
        String message =
                assertThrows(IllegalArgumentException.class, () -> Measurements.read(folder))
                        .getMessage();
        assertTrue(message.startsWith(folder.resolve("a.jsonl") + ":3: members"), message);
    }

    @Test
    void missingFolderGivesNoResults() throws IOException {
        assertEquals(List.of(), Measurements.read(folder.resolve("none")).lines());
    }

    @Test
    void repeatsGiveMedianOfMediansAndWorstOfAll() {
        Point point =
                new Measurements(
                                List.of(
                                        SampleResults.line(45, 1, 10, 15, ""),
                                        SampleResults.line(45, 2, 30, 31, ""),
                                        SampleResults.line(45, 3, 14, 99, ""),
                                        SampleResults.line(45, 4, 1, 1, "cut short")))
                        .points(CALM)
                        .get(45);
        assertEquals(14, point.value(Statistic.MEDIAN));
        assertEquals(99, point.value(Statistic.WORST));
        assertEquals(
                "14 (10 to 30), worst 99; 1 more did not count: cut short",
                MarkdownTable.point(point));
        assertEquals("3 seeds", MarkdownTable.repeats(point.validLines()));
    }

    @Test
    void invalidResultsGiveNoNumber() {
        Measurements results =
                new Measurements(
                        List.of(
                                SampleResults.line(45, 1, 77777, 88888, "processor full"),
                                SampleResults.line(90, 1, 77777, 88888, "cut short")));
        Point point = results.points(CALM).get(45);
        assertThrows(IllegalStateException.class, () -> point.value(Statistic.MEDIAN));
        assertEquals("did not count: processor full", MarkdownTable.point(point));
        assertEquals(null, results.fit(CALM, Statistic.MEDIAN));
        CapacityEstimate need = CapacityEstimate.estimate(results, CALM, Statistic.MEDIAN, 45);
        assertEquals("did not count: processor full", need.text());
        assertEquals(CapacityEstimate.Origin.NONE, need.origin());
    }

    @Test
    void voidedAndUnsettledResultsAreInvalid() {
        ResultLine calm = ResultLine.read(GOOD);
        String key = calm.suite() + "/" + calm.metric() + "/" + calm.commit();
        Measurements voided =
                new Measurements(List.of(calm)).excludeInvalid(Map.of(key, "the meter was wrong"));
        assertEquals(
                "did not count: the meter was wrong",
                MarkdownTable.point(voided.points(Series.of(calm)).get(calm.size())));
        Measurements other =
                new Measurements(List.of(calm)).excludeInvalid(Map.of("fleet/other/x", "no such"));
        assertEquals(calm.isValid(), other.lines().get(0).isValid());
        ResultLine unsettled =
                ResultLine.read(GOOD.replace("\"" + calm.metric() + "\"", "\"unsettled\""));
        Measurements early = new Measurements(List.of(calm, unsettled)).excludeInvalid(Map.of());
        assertEquals(calm.scenario().equals("calm"), !early.lines().get(0).isValid());
    }

    @Test
    void twoUnitsInOneSeriesAreRejected() {
        ResultLine line = ResultLine.read(GOOD);
        ResultLine other = ResultLine.read(GOOD.replace("B/s", "KB/s"));
        assertThrows(IllegalArgumentException.class, () -> new Measurements(List.of(line, other)));
    }

    @Test
    void measuredValueIsPreferredToExtrapolation() {
        Measurements results =
                new Measurements(
                        List.of(
                                SampleResults.line(45, 1, 100, 100, ""),
                                SampleResults.line(90, 1, 200, 200, ""),
                                SampleResults.line(720, 1, 500, 500, "")));
        assertEquals(
                "500 B/s", CapacityEstimate.estimate(results, CALM, Statistic.MEDIAN, 720).text());
        assertEquals(
                "at 720, 1 seed",
                CapacityEstimate.estimate(results, CALM, Statistic.MEDIAN, 720).derivation());
    }

    @Test
    void extrapolatedValueIsMarkedWithItsDerivation() {
        Measurements results =
                new Measurements(
                        List.of(
                                SampleResults.line(45, 1, 145, 0, ""),
                                SampleResults.line(45, 2, 145, 0, ""),
                                SampleResults.line(90, 1, 190, 0, ""),
                                SampleResults.line(90, 2, 190, 0, ""),
                                SampleResults.line(720, 1, 9, 9, "processor full")));
        CapacityEstimate need = CapacityEstimate.estimate(results, CALM, Statistic.MEDIAN, 720);
        assertEquals("*reckoned* 820 B/s", need.text());
        assertEquals(
                "from 45 to 90 by the line, 2 seeds; at 720 it did not count: processor full",
                need.derivation());
    }

    @Test
    void oneSizeOrNegativeValueIsNotExtrapolated() {
        Measurements one =
                new Measurements(
                        List.of(
                                SampleResults.line(45, 1, 100, 100, ""),
                                SampleResults.line(45, 2, 120, 120, "")));
        assertEquals(
                "not measured (at 45 alone, so there is no slope)",
                CapacityEstimate.estimate(one, CALM, Statistic.MEDIAN, 720).text());
        Measurements falling =
                new Measurements(
                        List.of(
                                SampleResults.line(45, 1, 100, 100, ""),
                                SampleResults.line(90, 1, 50, 50, "")));
        assertEquals(
                "not measured (the line is below zero there)",
                CapacityEstimate.estimate(falling, CALM, Statistic.MEDIAN, 720).text());
    }

    @ParameterizedTest
    @CsvSource(
            value = {
                "0;0",
                "2734;2,730",
                "18398;18,400",
                "123456;123,000",
                "0.00456;0.00456",
                "12.345;12.3",
                "1.9;1.9",
                "100;100",
                "-42;-42",
                "999.6;1,000"
            },
            delimiter = ';')
    void numbersAreRoundedToThreeSignificantDigits(double value, String text) {
        assertEquals(text, Units.number(value));
    }

    @Test
    void incompatibleUnitsAreRejected() {
        assertEquals(4.3, Units.convert(43, "ms/s", "% of a core"), 1e-9);
        assertEquals(6000, Units.convert(6, "KB/s", "B/s"), 1e-9);
        assertEquals(1.048576, Units.convert(1, "MiB", "MB"), 1e-9);
        assertThrows(IllegalArgumentException.class, () -> Units.convert(1, "B", "B/s"));
        assertThrows(IllegalArgumentException.class, () -> Units.convert(1, "%", "% of a core"));
    }
}
