package junipercourse.roster;

import com.eclipsesource.json.Json;
import java.io.Closeable;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.util.HexFormat;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import junipercourse.TestBench;
import junipercourse.core.Counters;
import junipercourse.net.Loop;

/** An event bus that a test plays by hand, one connection after the other. */
final class ScriptedBus implements Closeable {
    static final String NOTHING = "00000009%016x00";
    /** A change of one engine, whose id is the number of the event. */
    static final String CHANGE = "00000024%1$016x02%1$08x0a0100091b59010000000200000fa00000000000001388";
    static final String WHOLE = CHANGE.replace("02%1$08x", "01%1$08x");

    private final ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
    private final List<Socket> open = new CopyOnWriteArrayList<>();
    private final List<Socket> fillers = new CopyOnWriteArrayList<>();
    /** The numbers that connections asked from. */
    final List<Long> asked = new CopyOnWriteArrayList<>();
    volatile double lastFrameAt;

    ScriptedBus() throws IOException {
        server.setSoTimeout(20_000);
    }

    InetSocketAddress address() {
        return (InetSocketAddress) server.getLocalSocketAddress();
    }

    static double now() {
        return System.nanoTime() / 1e9;
    }

    /** Takes the next connection and what it asks from. */
    Socket accept() throws IOException {
        Socket s = server.accept();
        open.add(s);
        s.setTcpNoDelay(true);
        s.setSoTimeout(20_000);
        asked.add(new DataInputStream(s.getInputStream()).readLong());
        return s;
    }

    /** Takes a connection that ends without asking anything. */
    void awaitUnasked() throws IOException {
        try (Socket s = server.accept()) {
            s.setSoTimeout(5000);
            awaitEnd(s);
        }
    }

    /** Writes frames, such as {@code CHANGE.formatted(2)}, in one write. */
    void frames(Socket s, String hex) throws IOException {
        lastFrameAt = now();
        bytes(s, hex);
    }

    static void bytes(Socket s, String hex) throws IOException {
        s.getOutputStream().write(HexFormat.of().parseHex(hex));
    }

    /** Waits until the other side has left a connection. */
    static void awaitEnd(Socket s) throws IOException {
        try {
            if (s.getInputStream().read() >= 0) {
                throw new AssertionError("more was asked");
            }
        } catch (SocketException e) {
            return; // it was reset, for what it had not read
        }
    }

    /** From now on no connection comes up: the system's queue is full. */
    void deaf() throws IOException {
        try {
            for (int i = 0; i < 10; i++) {
                Socket s = new Socket();
                fillers.add(s);
                s.connect(address(), 300);
            }
        } catch (SocketTimeoutException e) {
            return;
        }
        throw new AssertionError("the queue takes all");
    }

    /** Connections come up again; what came up by now is left. */
    void hearing() throws IOException {
        for (Socket s : fillers.subList(0, fillers.size() - 1)) {
            server.accept().close();
            s.close();
        }
        fillers.get(fillers.size() - 1).close();
        fillers.clear();
    }

    /** A client of this bus that tells a list, such as {@code [FULL 1, DELTA 2]}. */
    RosterClient client(Loop loop, RosterClient.Listener listener) {
        return new RosterClient(loop, address(), Json.parse("{\"offset\":0,\"batch\":[]}").asObject(),
                List.of("east"), List.of("std"), listener, new Counters());
    }

    /** A listener that notes each list as its kind and its engine. */
    static RosterClient.Listener noting(List<String> told) {
        return (kind, members) -> told.add(kind + " " + members.get(0).engine().id().value());
    }

    /** Plays a script on a thread of its own; what fails in it is noted. */
    void play(TestBench.Task script, List<Throwable> faults) {
        TestBench.daemon(() -> {
            try {
                script.run();
            } catch (IOException | RuntimeException | Error e) {
                faults.add(e);
            }
        });
    }

    @Override
    public void close() throws IOException {
        server.close();
        for (Socket s : open) {
            s.close();
        }
        for (Socket s : fillers) {
            s.close();
        }
    }
}
