package junipercourse.multiprocess;

import java.util.HashMap;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * One answer of one process to {@code SHOW FLEET}.
 *
 * @param at seconds by the test's own clock, when the answer was there
 * @param observer number of the member that was asked
 * @param process which of that member's processes, counted by the test
 * @param self its own incarnation, 0 before it has one
 * @param members all that it knows of, by name
 * @param figures all other rows, such as {@code view.settled}
 */
public record FleetObservation(
        double at,
        int observer,
        int process,
        long self,
        Map<String, Seen> members,
        Map<String, String> valuesByName) {
    private static final Pattern ROW = Pattern.compile("D\\(([^)]*)\\)");
    private static final int COLUMNS = 7;

    /** A member as shown. */
    public record Seen(String standing, long incarnation) {}

    /** Reads what {@code SocketTestSupport.Client} made of the answer. */
    public static FleetObservation parse(double at, int observer, int process, String answer) {
        Map<String, Seen> members = new HashMap<>();
        Map<String, String> figures = new HashMap<>();
        long self = 0;
        Matcher rows = ROW.matcher(answer);
        while (rows.find()) {
            String[] c = rows.group(1).split(" ");
            if (c[0].equals("member")) {
                members.put(c[1], new Seen(c[2], incarnation(c[3])));
            } else if (c[0].equals("self")) {
                self = incarnation(c[3]);
            } else if (c.length == COLUMNS) {
                figures.put(c[0] + "." + c[1], c[2]);
            }
        }
        return new FleetObservation(at, observer, process, self, members, figures);
    }

    private static long incarnation(String shown) {
        String[] parts = shown.split("\\.");
        return Long.parseLong(parts[0]) << 32 | Long.parseLong(parts[1], 16);
    }

    /** A count of the link, such as {@code link.in}. */
    public long count(String figure) {
        return Long.parseLong(valuesByName.getOrDefault(figure, "0"));
    }

    public boolean isConverged() {
        return "true".equals(valuesByName.get("view.settled"));
    }

    /** Whether it sees that member so. */
    public boolean sees(String member, String standing) {
        return members.containsKey(member) && members.get(member).standing().equals(standing);
    }
}
