package junipercourse.cli;

import java.time.Instant;
import junipercourse.core.Counters;
import junipercourse.core.Counters.Count;
import junipercourse.core.StatusTables;
import junipercourse.liveness.StallStatistics;
import junipercourse.log.BoundedConsoleWriter;
import junipercourse.net.DescriptorBudget;
import junipercourse.net.EventLoop;

/** What {@code SHOW} tells of the process itself. */
final class ProcessStatusTables {
    private final EventLoop loop;
    private final Counters counters;
    private final DescriptorBudget descriptors;

    private ProcessStatusTables(EventLoop loop, Counters counters, DescriptorBudget descriptors) {
        this.loop = loop;
        this.counters = counters;
        this.descriptors = descriptors;
    }

    /** All tables of the process. */
    static StatusTables of(EventLoop loop, Counters counters, DescriptorBudget descriptors) {
        StatusTables shows = new StatusTables();
        ProcessStatusTables tables = new ProcessStatusTables(loop, counters, descriptors);
        counters.addTable(shows);
        shows.add("stalls", tables::stalls, "figure", "value", "unit");
        shows.add("descriptors", tables::descriptors, "share", "figure", "count");
        return shows;
    }

    private void stalls(StatusTables.RowWriter rows) {
        StallStatistics log = loop.stallStatistics();
        rows.add("stalls", log.stallCount(), "count")
                .add("longest", millis(log.longestStallSeconds()), "ms")
                .add("last", millis(log.lastStallSeconds()), "ms")
                .add(
                        "last_at",
                        log.stallCount() == 0
                                ? "never"
                                : Instant.ofEpochMilli(millis(log.lastStallEndUnixSeconds())),
                        "utc")
                .add("total", millis(log.totalStallSeconds()), "ms")
                .add("longest_catch_up", millis(log.longestCatchUpSeconds()), "ms")
                .add("clock_steps", log.clockStepCount(), "count")
                .add("last_clock_step", millis(log.lastClockStepSeconds()), "ms")
                .add("attempts_reexamined", counters.get(Count.STALLS_REEXAMINED), "count")
                .add("attempts_left_alone", counters.get(Count.ATTEMPTS_LEFT_ALONE), "count")
                .add("queries_unordered", counters.get(Count.QUERIES_UNORDERED), "count")
                .add("log_lines_dropped", BoundedConsoleWriter.totalDroppedLines(), "count");
    }

    private static long millis(double seconds) {
        return Math.round(seconds * 1e3);
    }

    private void descriptors(StatusTables.RowWriter rows) {
        rows.add("all", "limit", descriptors.limit()).add("own", "kept", descriptors.reserved());
        for (DescriptorBudget.Share s : descriptors.shares()) {
            rows.add(s.name(), "most", s.maxOpen())
                    .add(s.name(), "open", s.openCount())
                    .add(s.name(), "closing", s.closingCount())
                    .add(s.name(), "peak", s.peak())
                    .add(s.name(), "turned_down", s.refusedCount());
        }
    }
}
