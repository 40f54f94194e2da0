package junipercourse.cli;

import java.time.Instant;
import junipercourse.core.Counters;
import junipercourse.core.Counters.Count;
import junipercourse.core.Shows;
import junipercourse.liveness.StallLog;
import junipercourse.log.BoundedConsoleWriter;
import junipercourse.net.Descriptors;
import junipercourse.net.Loop;

/** What the process tells of itself by {@code SHOW}: its stalls and its descriptors. */
final class OwnTables {
    private OwnTables() { }

    static void add(Shows shows, Loop loop, Counters counters, Descriptors descriptors) {
        shows.add("stalls", rows -> stalls(rows, loop, counters), "figure", "value", "unit");
        shows.add("descriptors", rows -> descriptors(rows, descriptors), "share", "figure", "count");
    }

    private static void stalls(Shows.Rows rows, Loop loop, Counters counters) {
        StallLog log = loop.stallLog();
        rows.add("stalls", log.stalls(), "count")
                .add("longest", Server.millis(log.longest()), "ms")
                .add("last", Server.millis(log.lastLength()), "ms")
                .add("last_at", log.stalls() == 0 ? "never"
                        : Instant.ofEpochMilli(Server.millis(log.lastAt())),
                        "utc")
                .add("total", Server.millis(log.total()), "ms")
                .add("longest_catch_up", Server.millis(log.longestCatchUp()), "ms")
                .add("clock_steps", log.steps(), "count")
                .add("last_clock_step", Server.millis(log.lastStep()), "ms")
                .add("attempts_reexamined", counters.get(Count.STALLS_REEXAMINED), "count")
                .add("attempts_left_alone", counters.get(Count.ATTEMPTS_LEFT_ALONE), "count")
                .add("queries_unordered", counters.get(Count.QUERIES_UNORDERED), "count")
                .add("log_lines_dropped", BoundedConsoleWriter.dropped(), "count");
    }

    private static void descriptors(Shows.Rows rows, Descriptors descriptors) {
        rows.add("all", "limit", descriptors.limit()).add("own", "kept", descriptors.own());
        for (Descriptors.Share s : descriptors.shares()) {
            rows.add(s.name(), "most", s.most()).add(s.name(), "open", s.open())
                    .add(s.name(), "closing", s.closingNow()).add(s.name(), "peak", s.peak())
                    .add(s.name(), "turned_down", s.turnedDown());
        }
    }
}
