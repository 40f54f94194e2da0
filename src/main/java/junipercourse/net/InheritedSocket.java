package junipercourse.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.Channel;
import java.nio.channels.ServerSocketChannel;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * The clients' listening socket when the platform holds it and passes it to the process, so that a
 * new process can replace an old one. All processes accept from one queue in the kernel:
 * connections that one leaves there are accepted by another.
 *
 * <p>It is never closed here: when the JDK closes an inherited channel, it also redirects standard
 * error to {@code /dev/null}. A process that no longer needs it just stops accepting; the system
 * closes it when the process exits.
 */
public final class InheritedSocket {
    /** The only descriptor that the JDK can take over ({@link System#inheritedChannel}). */
    private static final String DESCRIPTOR = "0";

    private InheritedSocket() {}

    /**
     * Takes over the listening socket.
     *
     * @param descriptor the number of the descriptor, as set by the platform
     * @param expectedAddress the address on which the socket must listen
     * @throws IllegalArgumentException if the socket cannot be used; the message says why
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
