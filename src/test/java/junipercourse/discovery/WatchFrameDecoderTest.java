package junipercourse.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.eclipsesource.json.Json;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.HexFormat;
import java.util.List;
import java.util.Set;
import junipercourse.config.Config;
import junipercourse.config.ConfigException;
import junipercourse.core.Backend.EngineEndpoint;
import junipercourse.decision.api.EngineId;
import junipercourse.decision.api.EngineListing;
import junipercourse.decision.api.EngineStage;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class WatchFrameDecoderTest {
    private static final String INITIAL_EVENTS =
            """
            {"offset":41,"batch":[{"offset":41,"topology":{"revision":7,"complete":true,"members":[
            {"id":"%s","host_port":"10.1.0.9:7001","locality":"east","flavor":"std","cell":2,
            "phase":"%s","size":4,"up_since_ms":5000}]}}]}\
            """;
    private static final String EMPTY_FRAME = "00000009" + "0000000000000029" + "00";
    private static final String DELTA_FRAME =
            "00000024"
                    + "000000000000002a"
                    + "02"
                    + "00c41f7a"
                    + "0a010009"
                    + "1b59"
                    + "01"
                    + "00"
                    + "00"
                    + "0002"
                    + "00000fa0"
                    + "0000000000001388";
    private static final EngineEndpoint ENDPOINT =
            new EngineEndpoint(
                    new EngineListing(new EngineId(0xc41f7aL), 0, 0, 2, EngineStage.DRAINING, 4, 5),
                    Config.parseAddress("x", "10.1.0.9:7001"));

    @ParameterizedTest
    @ValueSource(ints = {1, 5, 13, 14, 100})
    void decodesFramesWhenBytesArriveInPieces(int pieceBytes)
            throws WatchFrameDecoder.MalformedFrameException {
        byte[] bytes = HexFormat.of().parseHex(EMPTY_FRAME + DELTA_FRAME);
        WatchFrameDecoder decoder = new WatchFrameDecoder();
        List<WatchFrameDecoder.Frame> decoded = new ArrayList<>();
        for (int offset = 0; offset < bytes.length; offset += pieceBytes) {
            decoder.add(
                    ByteBuffer.wrap(bytes, offset, Math.min(pieceBytes, bytes.length - offset)));
            for (WatchFrameDecoder.Frame frame = decoder.decodeNext();
                    frame != null;
                    frame = decoder.decodeNext()) {
                decoded.add(frame);
            }
        }
        assertEquals(
                List.of(
                        new WatchFrameDecoder.Frame(WatchFrameDecoder.Kind.EMPTY, 41, List.of()),
                        new WatchFrameDecoder.Frame(
                                WatchFrameDecoder.Kind.DELTA, 42, List.of(ENDPOINT))),
                decoded);
        assertNull(decoder.decodeNext());
    }

    @ParameterizedTest
    @CsvSource({
        "00000008000000000000000000",
        "7fffffff000000000000000000",
        "00000009000000000000000003",
        "0000000a00000000000000000000",
        "0000000a00000000000000000100"
    })
    void throwsWhenAFrameIsMalformed(String hex) {
        WatchFrameDecoder decoder = new WatchFrameDecoder();
        decoder.add(ByteBuffer.wrap(HexFormat.of().parseHex(hex)));
        assertThrows(WatchFrameDecoder.MalformedFrameException.class, decoder::decodeNext);
    }

    /**
     * The frame length comes first, so that an oversized frame is rejected before memory is used.
     * The buffer must not be copied for each piece of a long frame.
     */
    @Test
    void memoryStaysBoundedWhenALongFrameArrivesInSmallPieces()
            throws WatchFrameDecoder.MalformedFrameException {
        byte[] frame =
                ByteBuffer.allocate(Integer.BYTES + WatchFrameDecoder.MAX_FRAME_BYTES)
                        .putInt(WatchFrameDecoder.MAX_FRAME_BYTES)
                        .putLong(7)
                        .put((byte) 1)
                        .array();
        WatchFrameDecoder decoder = new WatchFrameDecoder();
        Set<Integer> capacities = new HashSet<>();
        for (int round = 0; round < 3; round++) {
            for (int offset = 0; offset < frame.length; offset++) {
                assertNull(decoder.decodeNext());
                decoder.add(ByteBuffer.wrap(frame, offset, 1));
                capacities.add(decoder.bufferCapacity());
            }
            assertEquals(4096, decoder.decodeNext().endpoints().size());
        }
        assertTrue(
                capacities.size() <= 8,
                "the buffer was reallocated for many pieces: " + capacities.size());
        assertTrue(
                decoder.bufferCapacity() <= 2 * (WatchFrameDecoder.MAX_FRAME_BYTES + Integer.BYTES),
                "buffer capacity " + decoder.bufferCapacity());
    }

    private static List<InitialEventsReader.Event> readInitialEvents(String json) {
        return new InitialEventsReader(List.of("east"), List.of("std"))
                .read(Json.parse(json).asObject());
    }

    private static List<InitialEventsReader.Event> readInitialEvents(String phase, String id) {
        return readInitialEvents(INITIAL_EVENTS.formatted(id, phase));
    }

    @Test
    void initialEventsMatchFramesWhenTheyDescribeTheSameEngine() {
        assertEquals(
                List.of(new InitialEventsReader.Event(41, true, List.of(ENDPOINT))),
                readInitialEvents("Terminating", "s-00c41f7a"));
    }

    @ParameterizedTest
    @CsvSource({
        "Running,s-00c41f7a,phase",
        "Ready,00c41f7a,id",
        "Ready,s-x,id",
        "Ready,s--1,id",
        "Ready,s-+0c41f7a,id"
    })
    void messageStartsWithTheKeyWhenAnInitialEventIsInvalid(String phase, String id, String key) {
        ConfigException e = assertThrows(ConfigException.class, () -> readInitialEvents(phase, id));
        assertEquals("known.batch.0.topology.members.0." + key, e.getMessage().split(": ")[0]);
    }

    /**
     * Guards against reading a complete list as a change, which would keep engines that are not on
     * it, and against an event number that hides all later events.
     */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "known.batch.0.topology.complete | \"complete\":true | \"complex\":true",
                "known.batch.0.topology.complete | \"complete\":true | \"complete\":\"yes\"",
                "known.batch.0.topology.complete | \"complete\":true | \"complete\":null",
                "known.batch.0.offset | [{\"offset\":41 | [{\"offset\":1e300",
                "known.batch.0.offset | [{\"offset\":41 | [{\"offset\":-1",
                "known.batch.0.offset | [{\"offset\":41 | [{\"offset\":41.5",
                "known.batch.0.topology.members.0.cell | \"cell\":2 | \"cell\":2.5"
            })
    void messageStartsWithTheKeyWhenAnInitialEventIsUnreadable(
            String key, String original, String replacement) {
        assertTrue(INITIAL_EVENTS.contains(original));
        String text = INITIAL_EVENTS.replace(original, replacement);
        ConfigException e =
                assertThrows(
                        ConfigException.class,
                        () -> readInitialEvents(text.formatted("s-00c41f7a", "Ready")));
        assertEquals(key, e.getMessage().split(": ")[0]);
    }
}
