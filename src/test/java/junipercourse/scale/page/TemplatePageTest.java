package junipercourse.scale.page;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests that a generated page has no faults and that every alteration is reported. */
class TemplatePageTest {
    private static final String EMPTY =
            """
            # Sample
            At <!--=target.members-->?<!--/--> the least is <!--=least.role-->?<!--/-->, factor
            <!--=least.factor-->?<!--/-->; calm <!--=fleet/calm/bytes_out/worst@45-->?<!--/-->. See
            issue 34, `Sample1`.

            <!-- stated letter -->
            6 KB a second
            <!-- end -->
            <!-- table roles -->
            <!-- end -->
            <!-- table missing -->
            <!-- end -->
            <!-- table fleet bytes_out -->
            <!-- end -->
            <!-- table faults -->
            <!-- end -->
            <!-- table witness -->
            <!-- end -->
            <!-- table suite serving -->
            <!-- end -->
            <!-- table runs -->
            <!-- end -->
            """;

    private static String page() throws IOException {
        return new TemplatePage(EMPTY).generate(SampleResults.tables());
    }

    private static List<String> faults(String page) throws IOException {
        return new TemplatePage(page).faults(SampleResults.tables());
    }

    @Test
    void generatedPageHasNoFaultsAndIsStable() throws IOException {
        assertEquals(List.of(), faults(page()));
        assertEquals(page(), new TemplatePage(page()).generate(SampleResults.tables()));
        assertTrue(
                page().contains(
                                "At <!--=target.members-->720<!--/--> the least is"
                                    + " <!--=least.role-->control, cut<!--/-->, factor\n"
                                    + "<!--=least.factor-->**0.0556**<!--/-->; calm"
                                    + " <!--=fleet/calm/bytes_out/worst@45-->2,190 B/s<!--/-->."),
                page());
    }

    @Test
    void pageWithoutGeneratedValuesIsRejected() throws IOException {
        assertTrue(faults(EMPTY).contains("table roles is not what the results give"));
        assertTrue(faults(EMPTY).contains("value least.factor is not what the results give"));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = ';',
            value = {
                "*reckoned* 108 KB/s;*reckoned* 5.8 KB/s;table roles is not what the results give",
                "2,190 B/s<!--/-->;2,100 B/s<!--/-->;value fleet/calm/bytes_out/worst@45 is not"
                        + " what the results give",
                "# Sample;# Sample of 2,734 B/s;typed number in the prose: 2,734 B/s.*",
                "# Sample;# It takes `61 MB`;typed number in the prose: 61 MB.*",
                "# Sample;# <!-- 12 -->;stray marker <!-- 12 -->",
                "table runs;table rums;table rums: no table is named rums",
                "table suite serving;table suite server;.*no suite is named server",
                "table fleet bytes_out;table fleet bytes_up;.*the results of fleet hold no figure"
                        + " bytes_up",
                "fleet/calm/bytes_out/worst@45;fleet/calm/bytes_up/worst@45;.*the results of fleet"
                        + " hold no figure bytes_up",
                "=least.role;=most.role;.*no value is named most.role",
                "=least.role;=least.rule;.*no value is named least.rule",
                "=target.members;=target.member;.*no value is named target.member",
                "stated letter;stated hearsay;stated by hearsay, who is none of .*",
                "<!--=target.members-->720<!--/-->;<!--=target.members-->720;.*",
                "6 KB a second;6 KB <!--=target.members-->720<!--/-->;stated by letter: a marker"
                        + " stands in it.*"
            })
    void alteredPageIsRejected(String from, String to, String fault) throws IOException {
        assertTrue(page().contains(from), from);
        List<String> found = faults(page().replace(from, to));
        assertTrue(found.stream().anyMatch(each -> each.matches(fault)), found.toString());
    }

    @Test
    void removedResultIsReported() throws IOException {
        List<ResultLine> lines = new ArrayList<>(SampleResults.lines());
        assertTrue(
                lines.removeIf(
                        line ->
                                line.scenario().equals("cut")
                                        && line.size() == 90
                                        && line.metric().equals("bytes_out")));
        List<String> found = new TemplatePage(page()).faults(SampleResults.tables(lines));
        assertTrue(
                found.contains("table fleet bytes_out is not what the results give"),
                found.toString());
    }

    @Test
    void tableOfAMetricWithoutResultsIsReported() throws IOException {
        List<ResultLine> lines = new ArrayList<>(SampleResults.lines());
        assertTrue(lines.removeIf(line -> line.metric().equals("cpu")));
        List<String> found = new TemplatePage(page()).faults(SampleResults.tables(lines));
        assertTrue(
                found.contains("table roles: the results of fleet hold no figure cpu"),
                found.toString());
    }

    /** A scenario without results is a misspelt name or a gap; either must be reported. */
    @Test
    void scenarioNotRunRequiresAReason() throws IOException {
        assertTrue(
                SampleResults.row(SampleResults.tables().table("roles"), "| zone |")
                        .contains("not measured: the sample left it out"));
        CapacityModel without =
                CapacityModel.read(
                        SampleResults.rolesText().replace("fleet/zone_lost", "fleet/zone_back"));
        String message =
                assertThrows(
                                IllegalArgumentException.class,
                                () ->
                                        new CapacityTables(
                                                        new Measurements(SampleResults.lines()),
                                                        without)
                                                .table("roles"))
                        .getMessage();
        assertTrue(message.startsWith("the results of fleet hold no play zone_lost"), message);
    }

    /** An interrupted tool writes an invalid line instead of the metric. */
    @Test
    void interruptedScenarioShowsItsReason() throws IOException {
        List<ResultLine> lines = new ArrayList<>(SampleResults.lines());
        assertTrue(lines.removeIf(line -> line.scenario().equals("cut")));
        lines.add(
                new ResultLine(
                        "fleet",
                        "cut",
                        45,
                        "before",
                        1,
                        "2026-01-01",
                        "sample",
                        "sample",
                        "not_run",
                        "plays",
                        1,
                        1,
                        1,
                        false,
                        "cut short: <memory>"));
        lines.add(
                new ResultLine(
                        "fleet",
                        "start",
                        45,
                        "before",
                        1,
                        "2026-01-01",
                        "sample",
                        "sample",
                        "bytes_out_worst_second",
                        "B/s",
                        1,
                        1,
                        1,
                        true,
                        ""));
        String table = SampleResults.tables(lines).table("roles");
        assertTrue(
                SampleResults.row(table, "| cut |")
                        .contains("| did not count: cut short: &lt;memory&gt; |"),
                table);
    }

    @Test
    void tableWithoutEndMarkerIsRejected() throws IOException {
        String page = page().replaceFirst("(?s)(<!-- table roles -->.*?)<!-- end -->", "$1");
        assertFalse(faults(page).isEmpty());
        assertThrows(
                IllegalArgumentException.class,
                () -> new TemplatePage(page).generate(SampleResults.tables()));
    }

    @Test
    void invalidResultsAppearNowhereAsNumbers() throws IOException {
        assertFalse(page().matches("(?s).*(99[,.]?9|100,000|77[,.]?[78]).*"), page());
        assertTrue(page().contains("did not count: processor full"));
        assertTrue(page().contains("did not count: cut short"));
    }

    @Test
    void cellsWithoutResultsSayNotMeasured() throws IOException {
        String page = new TemplatePage(EMPTY).generate(SampleResults.tables(List.of()));
        assertTrue(
                page.contains("<!-- table fleet bytes_out -->\nnot measured\n<!-- end -->"), page);
        assertTrue(page.contains("<!--=least.factor-->not measured<!--/-->"), page);
        assertEquals(
                "| control | cut | not measured |  |  | `b` | 6 KB/s (sample) | not measured |  |",
                SampleResults.row(page, "| control | cut | not measured |  |  |"));
        assertEquals(List.of(), new TemplatePage(page).faults(SampleResults.tables(List.of())));
    }

    @Test
    void roleRowsNameRunDerivationBudgetFactorAndLimit() throws IOException {
        String table = SampleResults.tables().table("roles");
        assertEquals(
                "| control | cut | *reckoned* 108 KB/s | fleet/cut/bytes_out (before) from 45 to"
                    + " 360 by the line, 1 seed | 0.15 KB/s each, ± 0, exponent 1 | `b` | 6 KB/s"
                    + " (sample) | **0.0556** | under 45 members, the least that was run |",
                SampleResults.row(table, "| cut |"));
        assertTrue(
                SampleResults.row(table, "| calm |")
                        .contains(
                                "| *reckoned* 3.45 KB/s | fleet/calm/bytes_out (before) from 45 to"
                                        + " 360 by the line, 2 seeds; at 720 it did not count:"
                                        + " processor full |"),
                table);
        assertTrue(
                SampleResults.row(table, "| calm |")
                        .endsWith("| 1.74 | *reckoned* 2,000 members |"),
                table);
        assertTrue(
                SampleResults.row(table, "`e`")
                        .contains(
                                "| 1.75 % of a core | fleet/calm/cpu (before) at "
                                        + "720, 1 seed"
                                        + " |"),
                table);
        assertTrue(
                SampleResults.row(table, "`f`")
                        .contains(
                                "| *reckoned* 0.0862 core | "
                                        + "serving/engines/cpu_per_query "
                                        + "(before) at 980, 1 seed, times 431 queries a second |"),
                table);
        assertTrue(
                SampleResults.row(table, "keeper").contains("| not measured: there is none |"),
                table);
    }

    @Test
    void missingTableIsOrderedByRemainingFactor() throws IOException {
        List<String> rows =
                SampleResults.tables()
                        .table("missing")
                        .lines()
                        .skip(2)
                        .map(
                                row ->
                                        (row.split("\\|")[1].strip()
                                                        + " "
                                                        + row.split("\\|")[3].strip())
                                                .strip())
                        .toList();
        assertEquals(
                List.of("1 cut", "2 calm", "3 processor", "4 processor", "killed", "zone"), rows);
    }

    @Test
    void variantsStandSideBySideWithBeforeFirst() throws IOException {
        List<String> rows =
                SampleResults.tables()
                        .table("fleet bytes_out")
                        .lines()
                        .filter(row -> row.startsWith("| calm"))
                        .toList();
        assertTrue(
                rows.get(0)
                        .startsWith(
                                "| calm | bytes_out | B/s | before | 2,100 (2,090 to 2,100), "
                                        + "worst 2,190 |"),
                rows.get(0));
        assertTrue(
                rows.get(1).startsWith("| calm | bytes_out | B/s | after | 1,000, worst 1,100 |"),
                rows.get(1));
    }

    @Test
    void witnessRatiosOverAFifthApartAreMarkedWithTheReason() throws IOException {
        String table = SampleResults.tables().table("witness");
        assertTrue(SampleResults.row(table, "| 45 |").endsWith("| 1 |  |"), table);
        assertTrue(
                SampleResults.row(table, "| 90 |").endsWith("| **0.546** | the sample says so |"),
                table);
    }

    @Test
    void faultRowNamesCostDurationAndClientImpact() throws IOException {
        assertEquals(
                "| regions apart | 2 a year | *reckoned* 144,000 B/s (from 45 to 360 by the line, 1"
                    + " seed) | not measured (at 360 alone, so there is no slope) | not measured"
                    + " (at 360 alone, so there is no slope) | nothing |",
                SampleResults.row(SampleResults.tables().table("faults"), "regions apart"));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "\"there is none\"=\"it has 3\"",
                "\"budget\": \"core\"=\"budget\": \"cores\"",
                "\"times\": \"queries_per_s\"=\"times\": \"queries\"",
                "\"serving\": \"engines\"=\"serving\": \"engine\"",
                "\"what\": \"cut\"=\"need\": \"cut\"",
                "\"seen\": \"nothing\"=\"seen\": \"2 s\""
            })
    void rolesWithTypedNumbersOrUnknownNamesAreRejected(String change) throws IOException {
        String[] parts = change.split("=", 2);
        String text = SampleResults.rolesText();
        assertTrue(text.contains(parts[0]), parts[0]);
        assertThrows(
                IllegalArgumentException.class,
                () -> CapacityModel.read(text.replace(parts[0], parts[1])));
    }
}
