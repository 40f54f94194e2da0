package junipercourse.core;

import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.StringJoiner;
import junipercourse.decision.api.AttemptOutcome;

/** Counts of what the program takes in, sends and answers. */
public final class Counters {
    /** What is counted. */
    public enum Count {
        CLIENTS_ACCEPTED,
        CLIENTS_TURNED_AWAY,
        CLIENTS_GARBLED,
        CLIENTS_CANCELLED,
        CLIENTS_LEFT,
        QUERIES_TAKEN,
        QUERIES_MALFORMED,
        QUERIES_DOUBLED,
        QUERIES_SERVED,
        QUERIES_REFUSED,
        QUERIES_FAILED,
        QUERIES_LAST_MOMENT,
        QUERIES_UNORDERED,
        ATTEMPTS_SENT,
        ATTEMPTS_CALLED_OFF,
        ATTEMPTS_NOT_SENT,
        ATTEMPTS_LEFT_ALONE,
        ENDS_OK,
        ENDS_ERROR,
        ENDS_TURNED_AWAY,
        ENDS_TIMEOUT,
        ENDS_UNREACHABLE,
        ENDS_RESET,
        ENDS_CANCELLED,
        ENDS_MOOT,
        ENDS_UNSENT,
        ENGINES_CONNECTED,
        ENGINES_BROKEN,
        ENGINES_GARBLED,
        ENGINES_ASKED_AGAIN,
        ROSTER_EVENTS,
        ROSTER_CONNECTED,
        ROSTER_GARBLED,
        STALLS_SEEN,
        STALLS_REEXAMINED,
        CONFIG_RELOADED,
        CONFIG_REJECTED,
        INTERNAL_ERRORS;

        /** Returns the count of attempts that ended with an outcome. */
        static Count endOf(AttemptOutcome outcome) {
            return switch (outcome) {
                case OK -> ENDS_OK;
                case ERROR -> ENDS_ERROR;
                case REJECTED -> ENDS_TURNED_AWAY;
                case TIMEOUT -> ENDS_TIMEOUT;
                case UNREACHABLE -> ENDS_UNREACHABLE;
                case RESET -> ENDS_RESET;
                case CANCELLED -> ENDS_CANCELLED;
                case OBSOLETE -> ENDS_MOOT;
                case NOT_SENT -> ENDS_UNSENT;
            };
        }

        /** What the count belongs to, such as clients or ends. */
        public String category() {
            return name().substring(0, name().indexOf('_')).toLowerCase(Locale.ROOT);
        }

        /** What is counted there. */
        public String label() {
            return name().substring(name().indexOf('_') + 1).toLowerCase(Locale.ROOT);
        }
    }

    private final Map<Count, Long> counts = new EnumMap<>(Count.class);

    /** Adds the table of all counts. */
    public void addTable(StatusTables statusTables) {
        statusTables.add(
                "counters",
                rows -> {
                    for (Count c : Count.values()) {
                        rows.add(c.category(), c.label(), get(c));
                    }
                },
                "side",
                "counter",
                "count");
    }

    public void increment(Count count) {
        counts.merge(count, 1L, Long::sum);
    }

    public long get(Count count) {
        return counts.getOrDefault(count, 0L);
    }

    /** All counts above 0 in one line. */
    @Override
    public String toString() {
        StringJoiner out = new StringJoiner(" ");
        counts.forEach((k, v) -> out.add(k.name().toLowerCase(Locale.ROOT) + "=" + v));
        return out.toString();
    }
}
