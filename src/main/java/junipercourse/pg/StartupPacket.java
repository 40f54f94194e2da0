package junipercourse.pg;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * What a client's start-up packet wants. It comes without a type, before any message, and more than
 * once where encryption is asked for first.
 *
 * @param minor of the protocol's version
 * @param unknown options of the protocol that are not known here
 * @param cancelled whose query is to be cancelled; null if the packet does not say it as it should
 */
record StartupPacket(Kind kind, int minor, List<String> unknown, Key cancelled) {
    private static final int PROTOCOL_MAJOR = 3;
    private static final int CANCEL = 80877102;
    private static final int SSL = 80877103;
    private static final int GSS = 80877104;

    /** To go on encrypted, to cancel another session's query, or to start this session. */
    enum Kind {
        ENCRYPTION,
        CANCEL,
        START
    }

    /** A session's number and its secret. */
    record Key(int process, int secret) {}

    /** Reads what follows the packet's length, four bytes or more. */
    static StartupPacket read(byte[] body) throws FrontendMessageDecoder.MalformedMessageException {
        ByteBuffer packet = ByteBuffer.wrap(body);
        int code = packet.getInt();
        if (code == SSL || code == GSS) {
            return new StartupPacket(Kind.ENCRYPTION, 0, List.of(), null);
        } else if (code == CANCEL) {
            Key key = packet.remaining() == 8 ? new Key(packet.getInt(), packet.getInt()) : null;
            return new StartupPacket(Kind.CANCEL, 0, List.of(), key);
        } else if (code >>> 16 == PROTOCOL_MAJOR) {
            return start(code & 0xffff, packet);
        }
        throw new FrontendMessageDecoder.MalformedMessageException(
                "protocol version "
                        + (code >>> 16)
                        + "."
                        + (code & 0xffff)
                        + " is not spoken here");
    }

    private static StartupPacket start(int minor, ByteBuffer packet)
            throws FrontendMessageDecoder.MalformedMessageException {
        String[] words =
                new String(
                                packet.array(),
                                packet.position(),
                                packet.remaining(),
                                StandardCharsets.UTF_8)
                        .split("\0", -1);
        boolean user = false;
        List<String> unknown = new ArrayList<>();
        for (int i = 0; i + 1 < words.length && !words[i].isEmpty(); i += 2) {
            user |= words[i].equals("user") && !words[i + 1].isEmpty();
            if (words[i].startsWith("_pq_.")) {
                unknown.add(words[i]);
            }
        }
        if (!user) {
            throw new FrontendMessageDecoder.MalformedMessageException(
                    "the start-up packet names no user");
        }
        return new StartupPacket(Kind.START, minor, unknown, null);
    }

    /** What a session that starts is told, with the key that its query can be cancelled by. */
    BackendMessageEncoder greeting(Key key) {
        BackendMessageEncoder out = new BackendMessageEncoder();
        if (minor > 0 || !unknown.isEmpty()) {
            out.negotiate(unknown);
        }
        return out.authenticationOk()
                .parameter("server_version", "15.0")
                .parameter("server_encoding", "UTF8")
                .parameter("client_encoding", "UTF8")
                .parameter("DateStyle", "ISO, MDY")
                .parameter("integer_datetimes", "on")
                .parameter("standard_conforming_strings", "on")
                .backendKey(key.process(), key.secret())
                .ready();
    }
}
