package junipercourse.multiprocess;

import java.util.HashMap;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * One response of one process to {@code SHOW FLEET}.
 *
 * @param at time of the response by the test's clock
 * @param observer number of the member that was queried
 * @param process which of that member's processes responded, counted from its first start
 * @param self the member's own incarnation; 0 before it has one
 * @param members the members that it knows, by name
 * @param figures the values of all other rows, such as {@code view.settled}
 */
public record FleetObservation(
        double atSeconds,
        int observer,
        int startNumber,
        long self,
        Map<String, ObservedMember> members,
        Map<String, String> valuesByName) {
    private static final Pattern ROW = Pattern.compile("D\\(([^)]*)\\)");
    private static final int COLUMNS = 7;

    /** A member as listed in the table. */
    public record ObservedMember(String status, long incarnation) {}

    /** Parses the response as formatted by {@code Client}. */
    public static FleetObservation parse(
            double atSeconds, int observer, int startNumber, String response) {
        Map<String, ObservedMember> members = new HashMap<>();
        Map<String, String> valuesByName = new HashMap<>();
        long self = 0;
        Matcher rowMatcher = ROW.matcher(response);
        while (rowMatcher.find()) {
            String[] cells = rowMatcher.group(1).split(" ");
            if (cells[0].equals("member")) {
                members.put(cells[1], new ObservedMember(cells[2], incarnation(cells[3])));
            } else if (cells[0].equals("self")) {
                self = incarnation(cells[3]);
            } else if (cells.length == COLUMNS) {
                valuesByName.put(cells[0] + "." + cells[1], cells[2]);
            }
        }
        return new FleetObservation(atSeconds, observer, startNumber, self, members, valuesByName);
    }

    private static long incarnation(String text) {
        String[] parts = text.split("\\.");
        return Long.parseLong(parts[0]) << 32 | Long.parseLong(parts[1], 16);
    }

    /** Returns a counter, such as {@code link.in}; 0 if it is missing. */
    public long count(String name) {
        return Long.parseLong(valuesByName.getOrDefault(name, "0"));
    }

    public boolean isConverged() {
        return "true".equals(valuesByName.get("view.settled"));
    }

    /** Returns true if the member is listed with this status. */
    public boolean reports(String member, String status) {
        return members.containsKey(member) && members.get(member).status().equals(status);
    }
}
