package junipercourse.pg;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * A client's start-up packet. It has no type byte and precedes all messages. A client that requests
 * encryption first sends more than one.
 *
 * @param minorVersion of the protocol
 * @param unknownOptions protocol options that this server does not know
 * @param cancelTarget the session whose query is to be cancelled; null if the packet is invalid
 */
record StartupPacket(
        Kind kind, int minorVersion, List<String> unknownOptions, CancelKey cancelTarget) {
    private static final int PROTOCOL_MAJOR = 3;
    private static final int CANCEL_REQUEST_CODE = 80877102;
    private static final int SSL_REQUEST_CODE = 80877103;
    private static final int GSS_ENCRYPTION_REQUEST_CODE = 80877104;

    /** Requests encryption, cancels another session's query, or starts this session. */
    enum Kind {
        ENCRYPTION,
        CANCEL,
        START
    }

    /** Parses the bytes after the packet's length; there are at least four. */
    static StartupPacket parse(byte[] body)
            throws FrontendMessageDecoder.MalformedMessageException {
        ByteBuffer packet = ByteBuffer.wrap(body);
        int code = packet.getInt();
        if (code == SSL_REQUEST_CODE || code == GSS_ENCRYPTION_REQUEST_CODE) {
            return new StartupPacket(Kind.ENCRYPTION, 0, List.of(), null);
        } else if (code == CANCEL_REQUEST_CODE) {
            CancelKey key =
                    packet.remaining() == 8
                            ? new CancelKey(packet.getInt(), packet.getInt())
                            : null;
            return new StartupPacket(Kind.CANCEL, 0, List.of(), key);
        } else if (code >>> 16 == PROTOCOL_MAJOR) {
            return parseStart(code & 0xffff, packet);
        }
        throw new FrontendMessageDecoder.MalformedMessageException(
                "protocol version "
                        + (code >>> 16)
                        + "."
                        + (code & 0xffff)
                        + " is not spoken here");
    }

    private static StartupPacket parseStart(int minorVersion, ByteBuffer packet)
            throws FrontendMessageDecoder.MalformedMessageException {
        String[] parameters =
                new String(
                                packet.array(),
                                packet.position(),
                                packet.remaining(),
                                StandardCharsets.UTF_8)
                        .split("\0", -1);
        boolean hasUser = false;
        List<String> unknownOptions = new ArrayList<>();
        for (int i = 0; i + 1 < parameters.length && !parameters[i].isEmpty(); i += 2) {
            hasUser |= parameters[i].equals("user") && !parameters[i + 1].isEmpty();
            if (parameters[i].startsWith("_pq_.")) {
                unknownOptions.add(parameters[i]);
            }
        }
        if (!hasUser) {
            throw new FrontendMessageDecoder.MalformedMessageException(
                    "the start-up packet names no user");
        }
        return new StartupPacket(Kind.START, minorVersion, unknownOptions, null);
    }

    /** Returns the messages that start a session, with the key to cancel its queries. */
    BackendMessageEncoder greetingMessages(CancelKey key) {
        BackendMessageEncoder encoder = new BackendMessageEncoder();
        if (minorVersion > 0 || !unknownOptions.isEmpty()) {
            encoder.negotiateProtocolVersion(unknownOptions);
        }
        return encoder.authenticationOk()
                .parameterStatus("server_version", "15.0")
                .parameterStatus("server_encoding", "UTF8")
                .parameterStatus("client_encoding", "UTF8")
                .parameterStatus("DateStyle", "ISO, MDY")
                .parameterStatus("integer_datetimes", "on")
                .parameterStatus("standard_conforming_strings", "on")
                .backendKeyData(key.processId(), key.secret())
                .readyForQuery();
    }
}
