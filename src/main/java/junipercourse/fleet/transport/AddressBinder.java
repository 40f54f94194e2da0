package junipercourse.fleet.transport;

import java.io.IOException;
import java.net.BindException;
import java.net.DatagramSocket;
import java.net.InetSocketAddress;
import java.nio.channels.DatagramChannel;

/** Binds a channel to an address that another process may still hold. */
final class AddressBinder {
    private final DatagramChannel channel;
    private final InetSocketAddress address;
    private volatile boolean bound;

    AddressBinder(DatagramChannel channel, InetSocketAddress address) {
        this.channel = channel;
        this.address = address;
    }

    /** Returns true once the address is bound. */
    boolean isBound() {
        return bound;
    }

    /**
     * Tries to bind the address; returns false while another process holds its port.
     *
     * @throws IOException if the address is not one of this machine
     */
    boolean tryBind() throws IOException {
        if (!bound) {
            try {
                channel.bind(address);
                bound = true;
            } catch (BindException e) {
                requireLocalAddress();
            }
        }
        return bound;
    }

    private void requireLocalAddress() throws IOException {
        new DatagramSocket(new InetSocketAddress(address.getAddress(), 0)).close();
    }
}
