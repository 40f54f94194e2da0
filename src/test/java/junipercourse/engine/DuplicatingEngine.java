package junipercourse.engine;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Function;
import java.util.function.ToLongFunction;
import junipercourse.SocketTestSupport;
import junipercourse.StubEngine;

/**
 * An engine that sends responses twice: the duplicate is sent after a delay, or right before the
 * response to the next call on the connection if that comes sooner.
 */
final class DuplicatingEngine extends StubEngine {
    private final Map<Socket, Copy> pendingCopies = new ConcurrentHashMap<>();
    private final ToLongFunction<String> duplicateDelayMillis;

    /** {@code duplicateDelayMillis} gives the longest delay for a call; no duplicate below 0. */
    DuplicatingEngine(Function<String, String> script, ToLongFunction<String> duplicateDelayMillis)
            throws IOException {
        super(script);
        this.duplicateDelayMillis = duplicateDelayMillis;
    }

    @Override
    protected void send(Socket socket, String call, String answer) throws IOException {
        Copy previous = pendingCopies.remove(socket);
        if (previous != null) {
            previous.send();
        }
        super.send(socket, call, answer);
        long delayMillis = duplicateDelayMillis.applyAsLong(call);
        if (delayMillis >= 0) {
            Copy copy = new Copy(socket, answer);
            pendingCopies.put(socket, copy);
            SocketTestSupport.startDaemon(
                    () -> {
                        SocketTestSupport.sleepMillis(delayMillis);
                        copy.send();
                    });
        }
    }

    /** A duplicate response, sent once. */
    private static final class Copy {
        private final Socket socket;
        private String text;

        Copy(Socket socket, String text) {
            this.socket = socket;
            this.text = text;
        }

        synchronized void send() throws IOException {
            String unsent = text;
            text = "";
            socket.getOutputStream().write(unsent.getBytes(StandardCharsets.ISO_8859_1));
        }
    }
}
