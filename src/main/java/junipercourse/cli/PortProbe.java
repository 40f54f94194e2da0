package junipercourse.cli;

import java.io.IOException;
import java.net.BindException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;

/** Tells why listening at an address failed. */
final class PortProbe {
    private PortProbe() {}

    /** Whether the port is in use; on an address of another machine, no port can be bound. */
    static boolean isPortInUse(InetSocketAddress address, IOException failure) {
        if (!(failure instanceof BindException)) {
            return false;
        }
        try (ServerSocket probeSocket = new ServerSocket(0, 1, address.getAddress())) {
            return probeSocket.isBound();
        } catch (IOException e) {
            return false;
        }
    }
}
