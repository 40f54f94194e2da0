package junipercourse.core;

import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.StringJoiner;
import junipercourse.decision.api.AttemptOutcome;

/** Counts events of clients, queries, attempts, engines and the endpoint list. */
public final class Counters {
    /** The events that are counted. Operators see each under its own name. */
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

        /** Returns the count for attempts that completed with an outcome. */
        static Count forOutcome(AttemptOutcome outcome) {
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

        /** Returns the first word of the name, such as clients or ends. */
        public String category() {
            return name().substring(0, name().indexOf('_')).toLowerCase(Locale.ROOT);
        }

        /** Returns the rest of the name, without the category. */
        public String label() {
            return name().substring(name().indexOf('_') + 1).toLowerCase(Locale.ROOT);
        }
    }

    private final Map<Count, Long> counts = new EnumMap<>(Count.class);

    /** Adds the table of all counts to the status tables. */
    public void addTable(StatusTables statusTables) {
        statusTables.add(
                "counters",
                rows -> {
                    for (Count count : Count.values()) {
                        rows.add(count.category(), count.label(), get(count));
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

    /** Returns all counts above 0 in one line. */
    @Override
    public String toString() {
        StringJoiner joiner = new StringJoiner(" ");
        counts.forEach(
                (count, value) -> joiner.add(count.name().toLowerCase(Locale.ROOT) + "=" + value));
        return joiner.toString();
    }
}
