package junipercourse;

import java.io.Closeable;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** A client of the PostgreSQL server. */
public final class Client implements Closeable {
    private static final int READ_TIMEOUT_MILLIS = 10_000;

    public final Socket socket;
    private final InetSocketAddress front;
    private final DataInputStream in;
    private byte[] cancelKey;

    public Client(InetSocketAddress front) throws IOException {
        this.front = front;
        socket = new Socket(front.getAddress(), front.getPort());
        socket.setSoTimeout(READ_TIMEOUT_MILLIS);
        in = new DataInputStream(socket.getInputStream());
    }

    public static byte[] startupMessage() {
        byte[] parameters = "user\0app\0database\0analytics\0\0".getBytes(StandardCharsets.UTF_8);
        return ByteBuffer.allocate(8 + parameters.length)
                .putInt(8 + parameters.length)
                .putInt(196608)
                .put(parameters)
                .array();
    }

    public static byte[] queryMessage(String sql) {
        byte[] text = (sql + "\0").getBytes(StandardCharsets.UTF_8);
        return ByteBuffer.allocate(5 + text.length)
                .put((byte) 'Q')
                .putInt(4 + text.length)
                .put(text)
                .array();
    }

    public void write(byte[]... parts) throws IOException {
        OutputStream out = socket.getOutputStream();
        for (byte[] part : parts) {
            out.write(part);
        }
    }

    /** Starts the session. */
    public Client startSession() throws IOException {
        write(startupMessage());
        readAnswer();
        return this;
    }

    public String query(String sql) throws IOException {
        write(queryMessage(sql));
        return readAnswer();
    }

    /**
     * Reads messages until the server is ready or closes, and formats them, such as {@code T D(a b
     * c) C(SELECT 1)}.
     */
    public String readAnswer() throws IOException {
        StringBuilder answer = new StringBuilder();
        for (int type = in.read(); type >= 0 && type != 'Z'; type = in.read()) {
            byte[] body = in.readNBytes(in.readInt() - 4);
            cancelKey = type == 'K' ? body : cancelKey;
            if ("TDCEI".indexOf(type) >= 0) {
                answer.append(answer.isEmpty() ? "" : " ")
                        .append((char) type)
                        .append(format((char) type, body));
            }
            if (type == 'E' && new String(body, StandardCharsets.UTF_8).contains("FATAL")) {
                return answer.append(" closed=").append(in.read() < 0).toString();
            }
        }
        in.skipBytes(5);
        return answer.toString();
    }

    private static String format(char type, byte[] body) {
        String text = new String(body, StandardCharsets.UTF_8);
        return switch (type) {
            case 'C' -> "(" + text.substring(0, text.length() - 1) + ")";
            case 'E' -> "(" + text.split("\0C")[1].replaceFirst("\0M", " ").split("\0")[0] + ")";
            case 'D' -> {
                ByteBuffer buffer = ByteBuffer.wrap(body);
                List<String> columns = new ArrayList<>();
                for (int n = buffer.getShort(); n > 0; n--) {
                    byte[] column = new byte[buffer.getInt()];
                    buffer.get(column);
                    columns.add(new String(column, StandardCharsets.UTF_8));
                }
                yield "(" + String.join(" ", columns) + ")";
            }
            default -> "";
        };
    }

    /** The process id and secret key of the session, which a cancel request carries. */
    public ByteBuffer cancelKey() {
        return ByteBuffer.wrap(cancelKey);
    }

    /** Sends a CancelRequest with this session's key over a connection of its own. */
    public void cancel() throws IOException {
        try (Socket connection = new Socket(front.getAddress(), front.getPort())) {
            connection.getOutputStream().write(cancelRequest());
            connection.getInputStream().read();
        }
    }

    public byte[] cancelRequest() {
        return ByteBuffer.allocate(16).putInt(16).putInt(80877102).put(cancelKey).array();
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
