package junipercourse.net;

import java.io.BufferedReader;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;

/**
 * Counts the connections that wait unaccepted at a listening socket, as Linux reports them in
 * {@code /proc/net/tcp} and {@code tcp6}: for a listening socket the receive queue counts them
 * (proc(5)).
 *
 * <p>Read only after a stall or a backlog, and to check an inherited socket: the XNIO acceptor,
 * once it has a limit, hands over waiting connections in several passes (43 and, 30 ms later, 107
 * of 150 were observed), and offers no way to find out whether more follow.
 */
final class AcceptBacklog {
    private static final List<Path> TABLES =
            List.of(Path.of("/proc/net/tcp6"), Path.of("/proc/net/tcp"));
    private static final String STATE_LISTEN = "0A";

    /**
     * Listening sockets come first; the limit protects the loop on a machine with a hundred
     * thousand other sockets.
     */
    private static final int MAX_LINES = 2000;

    private AcceptBacklog() {}

    /** The number of connections waiting at an address; -1 if the system does not report it. */
    static int countWaiting(InetSocketAddress listening) {
        for (Path table : TABLES) {
            try (BufferedReader reader =
                    Files.newBufferedReader(table, StandardCharsets.US_ASCII)) {
                int waiting = findWaiting(reader, listening);
                if (waiting >= 0) {
                    return waiting;
                }
            } catch (IOException | IllegalArgumentException e) {
                continue; // another system, or IPv6 is off: try the other table
            }
        }
        return -1;
    }

    /** Finds the number for an address in a table; -1 if nothing listens on it there. */
    static int findWaiting(BufferedReader table, InetSocketAddress listening) throws IOException {
        byte[] addressBytes = listening.getAddress().getAddress();
        StringBuilder hexAddress =
                new StringBuilder(); // the last four bytes as one little-endian number
        for (int i = addressBytes.length - 1; i >= addressBytes.length - 4; i--) {
            hexAddress.append(String.format("%02X", addressBytes[i]));
        }
        String localSuffix = hexAddress + String.format(":%04X", listening.getPort());
        String line = table.readLine();
        for (int i = 0; line != null && i < MAX_LINES; i++, line = table.readLine()) {
            String[] columns = line.trim().split(" +");
            if (columns.length > 4
                    && columns[3].equals(STATE_LISTEN)
                    && columns[1].toUpperCase(Locale.ROOT).endsWith(localSuffix)) {
                return Integer.parseInt(columns[4].substring(columns[4].indexOf(':') + 1), 16);
            }
        }
        return -1;
    }
}
