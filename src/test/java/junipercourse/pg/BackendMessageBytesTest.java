package junipercourse.pg;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.charset.StandardCharsets;
import java.util.HexFormat;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Fixes the bytes of each message that is sent to clients. */
class BackendMessageBytesTest {
    private static String hex(BackendMessageEncoder messages) {
        return HexFormat.of().formatHex(messages.bytes());
    }

    @Test
    void encodesSessionStartMessages() {
        BackendMessageEncoder messages =
                new BackendMessageEncoder()
                        .authenticationOk()
                        .parameterStatus("server_version", "14.0")
                        .backendKeyData(7, -2)
                        .readyForQuery();
        assertEquals(
                "52000000080000000053000000187365727665725f76657273696f6e0031342e30004b00"
                        + "00000c00000007fffffffe5a0000000549",
                hex(messages));
    }

    @Test
    void encodesVersionNegotiation() {
        assertEquals(
                "760000001300000000000000015f70715f2e7800",
                hex(new BackendMessageEncoder().negotiateProtocolVersion(List.of("_pq_.x"))));
    }

    @Test
    void encodesErrorAndEmptyQuery() {
        assertEquals(
                "4500000020534552524f5200564552524f5200433533303030004d627573790000490000" + "0004",
                hex(
                        new BackendMessageEncoder()
                                .errorResponse("ERROR", "53000", "busy")
                                .emptyQueryResponse()));
    }

    @Test
    void encodesResultOfTwoPages() {
        List<byte[]> pages =
                List.of(
                        "a\tb\n".getBytes(StandardCharsets.UTF_8),
                        "c\n".getBytes(StandardCharsets.UTF_8));
        assertEquals(
                "540000002e0002780000000000000000000019ffffffffffff0000790000000000000000"
                        + "000019ffffffffffff00004400000010000200000001610000000162440000000f000200"
                        + "0000016300000000430000000d53454c454354203200",
                hex(new BackendMessageEncoder().resultSet(pages, "x", "y")));
    }
}
