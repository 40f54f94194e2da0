package review;

import java.io.DataInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** A client of the PostgreSQL wire protocol: simple queries, one at a time. */
public final class Client implements AutoCloseable {
    /**
     * An answer.
     *
     * @param rows its rows, columns separated by tabs
     * @param tag of CommandComplete, or null
     * @param error code and text of an error, or null
     * @param ended whether the whole answer was read, up to ReadyForQuery or a fatal error
     */
    public record Answer(
            List<String> rows, String tag, String error, boolean emptyQuery, boolean ended) {
        public String summary() {
            return tag != null
                    ? "served " + rows.size() + " rows, " + tag
                    : error != null ? "error " + error : ended ? "empty" : "no answer";
        }
    }

    private final Socket socket = new Socket();
    private final DataInputStream in;

    public Client(InetSocketAddress address) throws IOException {
        socket.setTcpNoDelay(true);
        socket.connect(address, 2000);
        in = new DataInputStream(socket.getInputStream());
        byte[] parameters = "user\0app\0database\0analytics\0\0".getBytes(StandardCharsets.UTF_8);
        socket.getOutputStream()
                .write(
                        ByteBuffer.allocate(8 + parameters.length)
                                .putInt(8 + parameters.length)
                                .putInt(196608)
                                .put(parameters)
                                .array());
        socket.setSoTimeout(3000);
        read();
    }

    /** Sends a query and reads its answer. */
    public Answer query(String sql, int waitMillis) throws IOException {
        byte[] text = (sql + "\0").getBytes(StandardCharsets.UTF_8);
        socket.getOutputStream()
                .write(
                        ByteBuffer.allocate(5 + text.length)
                                .put((byte) 'Q')
                                .putInt(4 + text.length)
                                .put(text)
                                .array());
        socket.setSoTimeout(waitMillis);
        return read();
    }

    private Answer read() throws IOException {
        List<String> rows = new ArrayList<>();
        String tag = null;
        String error = null;
        boolean empty = false;
        try {
            while (true) {
                int type = in.readUnsignedByte();
                byte[] body = in.readNBytes(in.readInt() - 4);
                switch (type) {
                    case 'D' -> rows.add(row(body));
                    case 'C' -> tag = new String(body, 0, body.length - 1, StandardCharsets.UTF_8);
                    case 'I' -> empty = true;
                    case 'E' -> {
                        String text = new String(body, StandardCharsets.UTF_8);
                        error = text.split("\0C")[1].replaceFirst("\0M", " ").split("\0")[0];
                        if (text.startsWith("SFATAL")) {
                            return new Answer(rows, tag, error, empty, true);
                        }
                    }
                    case 'Z' -> {
                        return new Answer(rows, tag, error, empty, true);
                    }
                    default -> {}
                }
            }
        } catch (EOFException e) {
            return new Answer(rows, tag, error, empty, false);
        }
    }

    private static String row(byte[] body) {
        ByteBuffer buffer = ByteBuffer.wrap(body);
        List<String> columns = new ArrayList<>();
        for (int n = buffer.getShort(); n > 0; n--) {
            byte[] column = new byte[buffer.getInt()];
            buffer.get(column);
            columns.add(new String(column, StandardCharsets.ISO_8859_1));
        }
        return String.join("\t", columns);
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
