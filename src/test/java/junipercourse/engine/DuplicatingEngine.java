package junipercourse.engine;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Function;
import java.util.function.ToLongFunction;
import junipercourse.SocketTestSupport;

/**
 * An engine that sends answers twice: the second copy goes out after a delay or, if the answer to
 * another call on the connection comes before, right before that.
 */
final class DuplicatingEngine extends SocketTestSupport.StubEngine {
    private final Map<Socket, Copy> copies = new ConcurrentHashMap<>();
    private final ToLongFunction<String> echoMs;

    /** {@code echoMs}: by call, when the copy goes out at the latest; none below 0. */
    DuplicatingEngine(Function<String, String> script, ToLongFunction<String> echoMs)
            throws IOException {
        super(script);
        this.echoMs = echoMs;
    }

    @Override
    protected void send(Socket s, String call, String answer) throws IOException {
        Copy before = copies.remove(s);
        if (before != null) {
            before.send();
        }
        super.send(s, call, answer);
        long delay = echoMs.applyAsLong(call);
        if (delay >= 0) {
            Copy copy = new Copy(s, answer);
            copies.put(s, copy);
            SocketTestSupport.startDaemon(
                    () -> {
                        SocketTestSupport.sleepMillis(delay);
                        copy.send();
                    });
        }
    }

    /** A second copy, sent once. */
    private static final class Copy {
        private final Socket socket;
        private String text;

        Copy(Socket socket, String text) {
            this.socket = socket;
            this.text = text;
        }

        synchronized void send() throws IOException {
            String now = text;
            text = "";
            socket.getOutputStream().write(now.getBytes(StandardCharsets.ISO_8859_1));
        }
    }
}
