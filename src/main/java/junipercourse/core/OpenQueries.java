package junipercourse.core;

import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import junipercourse.core.Counters.Count;
import junipercourse.net.EventLoop;

/**
 * The queries in hand and the one final answer that each gets: each is counted where it is given.
 */
final class OpenQueries {
    private final EventLoop loop;
    private final Counters counters;
    private final ClassMetrics figures;
    private final SlotTable<InFlightQuery> exchanges = new SlotTable<>();
    private final Set<String> openIds = new HashSet<>();
    private int open;
    private Runnable whenIdle;

    OpenQueries(EventLoop loop, Counters counters, ClassMetrics figures) {
        this.loop = loop;
        this.figures = figures;
        this.counters = counters;
    }

    /** Takes a query in hand; null if one of its id is open or still out. */
    InFlightQuery take(Query query, ResponseHandler reply) {
        if (!openIds.add(openId(query))) {
            counters.increment(Count.QUERIES_DOUBLED);
            return null;
        }
        counters.increment(Count.QUERIES_TAKEN);
        InFlightQuery x = new InFlightQuery(query, reply);
        x.id = exchanges.add(x);
        open++;
        return x;
    }

    /** The query in hand of that id, or null. */
    InFlightQuery find(long id) {
        return exchanges.get(id);
    }

    List<InFlightQuery> all() {
        return exchanges.all();
    }

    /** Queries without a final answer. */
    int open() {
        return open;
    }

    void served(InFlightQuery x, List<byte[]> pages) {
        counters.increment(Count.QUERIES_SERVED);
        figures.passed(x.query.queryClass());
        x.reply.onServed(pages);
        answered(x);
    }

    /** Trying again is harmless, best after so many seconds. */
    void refused(InFlightQuery x, double coolDown, String why) {
        counters.increment(Count.QUERIES_REFUSED);
        figures.dropped(x.query.queryClass());
        x.reply.onRejected(coolDown, why);
        answered(x);
    }

    void failed(InFlightQuery x, String why) {
        counters.increment(Count.QUERIES_FAILED);
        figures.failed(x.query.queryClass());
        x.reply.onFailed(why);
        answered(x);
    }

    /** Its client has left: no answer is owed. */
    void left(InFlightQuery x) {
        counters.increment(Count.CLIENTS_LEFT);
        answered(x);
    }

    /** The one place where a query's answer is given or its client is given up. */
    private void answered(InFlightQuery x) {
        x.answered = true;
        open--;
        loop.cancel(x.lastMoment);
        x.lastMoment = null;
        release(x);
        checkIdle();
    }

    /** The one place where a query's slot and its id are given back. */
    void release(InFlightQuery x) {
        if (x.answered && x.out == null && exchanges.get(x.id) == x) {
            openIds.remove(openId(x.query));
            exchanges.remove(x.id);
        }
    }

    private static String openId(Query query) {
        return query.id().toLowerCase(Locale.ROOT);
    }

    /** Runs a task once no query is open; {@link #checkIdle} looks. */
    void whenIdle(Runnable task) {
        whenIdle = task;
    }

    void checkIdle() {
        if (open == 0 && whenIdle != null) {
            Runnable task = whenIdle;
            whenIdle = null;
            task.run();
        }
    }
}
