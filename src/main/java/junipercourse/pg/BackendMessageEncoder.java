package junipercourse.pg;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;

/** Encodes the protocol messages that a server sends. */
final class BackendMessageEncoder {
    private static final int TEXT_OID = 25;

    private final ByteArrayOutputStream output = new ByteArrayOutputStream(256);

    byte[] bytes() {
        return output.toByteArray();
    }

    private BackendMessageEncoder appendMessage(char type, byte[] body) {
        output.write(type);
        output.writeBytes(ByteBuffer.allocate(4).putInt(body.length + 4).array());
        output.writeBytes(body);
        return this;
    }

    private static byte[] cString(String value) {
        return (value + "\0").getBytes(StandardCharsets.UTF_8);
    }

    BackendMessageEncoder authenticationOk() {
        return appendMessage('R', new byte[4]);
    }

    BackendMessageEncoder parameterStatus(String name, String value) {
        return appendMessage('S', cString(name + "\0" + value));
    }

    BackendMessageEncoder backendKeyData(int processId, int secret) {
        return appendMessage('K', ByteBuffer.allocate(8).putInt(processId).putInt(secret).array());
    }

    /** Announces that only version 3.0 is supported, and which options are unknown. */
    BackendMessageEncoder negotiateProtocolVersion(List<String> unknownOptions) {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        body.writeBytes(ByteBuffer.allocate(8).putInt(0).putInt(unknownOptions.size()).array());
        unknownOptions.forEach(option -> body.writeBytes(cString(option)));
        return appendMessage('v', body.toByteArray());
    }

    BackendMessageEncoder readyForQuery() {
        return appendMessage('Z', new byte[] {'I'});
    }

    BackendMessageEncoder emptyQueryResponse() {
        return appendMessage('I', new byte[0]);
    }

    BackendMessageEncoder errorResponse(String severity, String code, String message) {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        body.writeBytes(cString("S" + severity));
        body.writeBytes(cString("V" + severity));
        body.writeBytes(cString("C" + code));
        body.writeBytes(cString("M" + message));
        body.write(0);
        return appendMessage('E', body.toByteArray());
    }

    /** A complete result of text columns: row description, data rows and command completion. */
    BackendMessageEncoder resultSet(List<byte[]> pages, String... columnNames) {
        ByteArrayOutputStream description = new ByteArrayOutputStream();
        description.writeBytes(ByteBuffer.allocate(2).putShort((short) columnNames.length).array());
        for (String columnName : columnNames) {
            description.writeBytes(cString(columnName));
            description.writeBytes(
                    ByteBuffer.allocate(18)
                            .putInt(0)
                            .putShort((short) 0)
                            .putInt(TEXT_OID)
                            .putShort((short) -1)
                            .putInt(-1)
                            .putShort((short) 0)
                            .array());
        }
        appendMessage('T', description.toByteArray());
        int rowCount = 0;
        for (byte[] page : pages) {
            int rowStart = 0;
            for (int i = 0; i < page.length; i++) {
                if (page[i] == '\n') {
                    appendRow(page, rowStart, i, columnNames.length);
                    rowStart = i + 1;
                    rowCount++;
                }
            }
        }
        return appendMessage('C', cString("SELECT " + rowCount));
    }

    private void appendRow(byte[] page, int rowStart, int rowEnd, int columnCount) {
        ByteBuffer body =
                ByteBuffer.allocate(2 + 4 * columnCount + rowEnd - rowStart)
                        .putShort((short) columnCount);
        int fieldStart = rowStart;
        for (int column = 1; column <= columnCount; column++) {
            int fieldEnd = fieldStart;
            while (fieldEnd < rowEnd && page[fieldEnd] != '\t') {
                fieldEnd++;
            }
            body.putInt(fieldEnd - fieldStart).put(page, fieldStart, fieldEnd - fieldStart);
            fieldStart = Math.min(fieldEnd + 1, rowEnd); // missing columns are empty
        }
        appendMessage('D', Arrays.copyOf(body.array(), body.position()));
    }
}
