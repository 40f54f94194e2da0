package junipercourse.core;

import java.util.EnumMap;
import java.util.Map;
import java.util.StringJoiner;

/** Counts of what the program takes in, sends and answers. */
public final class Counters {
    /** What is counted. */
    public enum Count {
        CLIENTS_ACCEPTED, CLIENTS_TURNED_AWAY, CLIENT_PROTOCOL_ERRORS, QUERIES_MALFORMED, QUERIES_TAKEN,
        CANCELS_ASKED, CLIENTS_LEFT, ANSWERS_SERVED, ANSWERS_REFUSED, ANSWERS_FAILED, ANSWERS_AT_LAST_MOMENT,
        ATTEMPTS_SENT, ATTEMPTS_CANCELLED, ATTEMPTS_MOOT, ENDS_OK, ENDS_ERROR, ENDS_TURNED_AWAY, ENDS_TIMEOUT,
        ENDS_UNREACHABLE, ENDS_RESET, ENDS_CANCELLED, ENDS_MOOT, ENGINE_CONNECTIONS_OPENED,
        ENGINE_CONNECTIONS_BROKEN, ENGINE_BYTES_GARBLED, POLLS_ASKED_AGAIN, ROSTER_EVENTS, ROSTER_CONNECTIONS,
        ROSTER_BYTES_GARBLED, INTERNAL_ERRORS
    }

    private final Map<Count, Long> counts = new EnumMap<>(Count.class);

    public void add(Count what) {
        counts.merge(what, 1L, Long::sum);
    }

    public long get(Count what) {
        return counts.getOrDefault(what, 0L);
    }

    /** All counts above 0 in one line. */
    @Override
    public String toString() {
        StringJoiner out = new StringJoiner(" ");
        counts.forEach((k, v) -> out.add(k.name().toLowerCase(java.util.Locale.ROOT) + "=" + v));
        return out.toString();
    }
}
