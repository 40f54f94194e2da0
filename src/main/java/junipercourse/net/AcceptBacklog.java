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
 * How many connections wait at a listening socket without having been accepted, as Linux tells it
 * in {@code /proc/net/tcp} and {@code tcp6}: for a listening socket the receive queue counts them
 * (proc(5)).
 *
 * <p>Asked only after a stall: XNIO's acceptor, once it has a bound, hands over what waits in
 * several passes (43 and, 30 ms later, 107 of 150 were seen), and offers no way to ask whether more
 * is to come.
 */
final class AcceptBacklog {
    private static final List<Path> TABLES =
            List.of(Path.of("/proc/net/tcp6"), Path.of("/proc/net/tcp"));
    private static final String STATE_LISTEN = "0A";

    /**
     * Listening sockets come first; guards the loop against a machine with a hundred thousand
     * others.
     */
    private static final int MAX_LINES = 2000;

    private AcceptBacklog() {}

    /** The number at an address; -1 where the system does not tell. */
    static int countWaiting(InetSocketAddress listening) {
        for (Path table : TABLES) {
            try (BufferedReader reader =
                    Files.newBufferedReader(table, StandardCharsets.US_ASCII)) {
                int waiting = findWaiting(reader, listening);
                if (waiting >= 0) {
                    return waiting;
                }
            } catch (IOException | IllegalArgumentException e) {
                continue; // another system, or IPv6 is off: the other table, or no answer
            }
        }
        return -1;
    }

    /** Finds the address in a table; -1 if it does not listen there. */
    static int findWaiting(BufferedReader table, InetSocketAddress listening) throws IOException {
        byte[] addressBytes = listening.getAddress().getAddress();
        StringBuilder hexAddress =
                new StringBuilder(); // four bytes are written as one little-endian number
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
