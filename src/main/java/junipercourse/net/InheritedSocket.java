package junipercourse.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.Channel;
import java.nio.channels.ServerSocketChannel;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * The clients' listening socket where the platform holds it and hands it down (DAYS, replacing the
 * process). All processes accept from one queue in the kernel: what one leaves there, another
 * takes.
 *
 * <p>It is never closed here: the JDK, when it closes an inherited channel, leads standard error to
 * {@code /dev/null}, too. Who is done with it just stops accepting; the system closes it with the
 * process.
 */
public final class InheritedSocket {
    /** The only descriptor that the JDK takes over ({@link System#inheritedChannel}). */
    private static final String DESCRIPTOR = "0";

    private InheritedSocket() {}

    /**
     * Takes it over.
     *
     * @param named the descriptor's number, as the platform gives it
     * @param listen where it has to listen
     * @throws IllegalArgumentException if it is none that can be used; the message says what it is
     */
    public static ServerSocketChannel takeOver(
            String descriptor, InetSocketAddress expectedAddress) {
        if (!DESCRIPTOR.equals(descriptor.trim())) {
            throw new IllegalArgumentException(
                    "only descriptor 0 can be taken over, not " + descriptor);
        }
        try {
            Channel channel = System.inheritedChannel();
            if (!(channel instanceof ServerSocketChannel server)) {
                throw new IllegalArgumentException(
                        "descriptor 0 is "
                                + (channel == null
                                        ? "no TCP socket"
                                        : "no listening socket: " + channel));
            }
            InetSocketAddress boundAddress = (InetSocketAddress) server.getLocalAddress();
            if (boundAddress == null
                    || boundAddress.getPort() != expectedAddress.getPort()
                    || !boundAddress.getAddress().equals(expectedAddress.getAddress())) {
                throw new IllegalArgumentException(
                        "descriptor 0 is bound to " + boundAddress + ", not to " + expectedAddress);
            }
            if (Files.isReadable(Path.of("/proc/net/tcp"))
                    && AcceptBacklog.countWaiting(boundAddress) < 0) {
                throw new IllegalArgumentException(
                        "descriptor 0 does not listen on " + boundAddress);
            }
            return server;
        } catch (IOException e) {
            throw new IllegalArgumentException(
                    "descriptor 0 cannot be taken over: " + e.getMessage(), e);
        }
    }
}
