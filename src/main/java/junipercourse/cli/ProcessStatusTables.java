package junipercourse.cli;

import java.time.Instant;
import junipercourse.core.Counters;
import junipercourse.core.Counters.Count;
import junipercourse.core.StatusTables;
import junipercourse.liveness.StallStatistics;
import junipercourse.log.BoundedConsoleWriter;
import junipercourse.net.DescriptorBudget;
import junipercourse.net.EventLoop;

/** The {@code SHOW} tables about the process itself. */
final class ProcessStatusTables {
    private final EventLoop loop;
    private final Counters counters;
    private final DescriptorBudget descriptors;

    private ProcessStatusTables(EventLoop loop, Counters counters, DescriptorBudget descriptors) {
        this.loop = loop;
        this.counters = counters;
        this.descriptors = descriptors;
    }

    /** Returns all tables of the process. */
    static StatusTables create(EventLoop loop, Counters counters, DescriptorBudget descriptors) {
        StatusTables statusTables = new StatusTables();
        ProcessStatusTables tables = new ProcessStatusTables(loop, counters, descriptors);
        counters.addTable(statusTables);
        statusTables.add("stalls", tables::addStallRows, "figure", "value", "unit");
        statusTables.add("descriptors", tables::addDescriptorRows, "share", "figure", "count");
        return statusTables;
    }

    private void addStallRows(StatusTables.RowWriter rows) {
        StallStatistics statistics = loop.stallStatistics();
        rows.add("stalls", statistics.stallCount(), "count")
                .add("longest", toMillis(statistics.longestStallSeconds()), "ms")
                .add("last", toMillis(statistics.lastStallSeconds()), "ms")
                .add(
                        "last_at",
                        statistics.stallCount() == 0
                                ? "never"
                                : Instant.ofEpochMilli(
                                        toMillis(statistics.lastStallEndUnixSeconds())),
                        "utc")
                .add("total", toMillis(statistics.totalStallSeconds()), "ms")
                .add("longest_catch_up", toMillis(statistics.longestCatchUpSeconds()), "ms")
                .add("clock_steps", statistics.clockStepCount(), "count")
                .add("last_clock_step", toMillis(statistics.lastClockStepSeconds()), "ms")
                .add("attempts_reexamined", counters.get(Count.STALLS_REEXAMINED), "count")
                .add("attempts_left_alone", counters.get(Count.ATTEMPTS_LEFT_ALONE), "count")
                .add("queries_unordered", counters.get(Count.QUERIES_UNORDERED), "count")
                .add("log_lines_dropped", BoundedConsoleWriter.totalDroppedLines(), "count");
    }

    private static long toMillis(double seconds) {
        return Math.round(seconds * 1e3);
    }

    private void addDescriptorRows(StatusTables.RowWriter rows) {
        rows.add("all", "limit", descriptors.limit()).add("own", "kept", descriptors.reserved());
        for (DescriptorBudget.Share share : descriptors.shares()) {
            rows.add(share.name(), "most", share.maxOpen())
                    .add(share.name(), "open", share.openCount())
                    .add(share.name(), "closing", share.closingCount())
                    .add(share.name(), "peak", share.peak())
                    .add(share.name(), "turned_down", share.refusedCount());
        }
    }
}
