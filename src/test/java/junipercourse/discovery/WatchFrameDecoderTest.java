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
    private static final String EMPTY = "00000009" + "0000000000000029" + "00";
    private static final String CHANGE =
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
    private static final EngineEndpoint MEMBER =
            new EngineEndpoint(
                    new EngineListing(new EngineId(0xc41f7aL), 0, 0, 2, EngineStage.DRAINING, 4, 5),
                    Config.parseAddress("x", "10.1.0.9:7001"));

    @ParameterizedTest
    @ValueSource(ints = {1, 5, 13, 14, 100})
    void readsFramesInAnyPieces(int piece) throws WatchFrameDecoder.MalformedFrameException {
        byte[] bytes = HexFormat.of().parseHex(EMPTY + CHANGE);
        WatchFrameDecoder frames = new WatchFrameDecoder();
        List<WatchFrameDecoder.Frame> got = new ArrayList<>();
        for (int at = 0; at < bytes.length; at += piece) {
            frames.add(ByteBuffer.wrap(bytes, at, Math.min(piece, bytes.length - at)));
            for (WatchFrameDecoder.Frame f = frames.next(); f != null; f = frames.next()) {
                got.add(f);
            }
        }
        assertEquals(
                List.of(
                        new WatchFrameDecoder.Frame(WatchFrameDecoder.Kind.NOTHING, 41, List.of()),
                        new WatchFrameDecoder.Frame(
                                WatchFrameDecoder.Kind.CHANGES, 42, List.of(MEMBER))),
                got);
        assertNull(frames.next());
    }

    @ParameterizedTest
    @CsvSource({
        "00000008000000000000000000",
        "7fffffff000000000000000000",
        "00000009000000000000000003",
        "0000000a00000000000000000000",
        "0000000a00000000000000000100"
    })
    void garbledFramesAreTold(String hex) {
        WatchFrameDecoder frames = new WatchFrameDecoder();
        frames.add(ByteBuffer.wrap(HexFormat.of().parseHex(hex)));
        assertThrows(WatchFrameDecoder.MalformedFrameException.class, frames::next);
    }

    /** A frame's length is known at its start: one that is too long holds no memory. */
    @Test
    void aLongFrameInSmallPiecesTakesBoundedMemory()
            throws WatchFrameDecoder.MalformedFrameException {
        byte[] frame =
                ByteBuffer.allocate(Integer.BYTES + WatchFrameDecoder.MAX_FRAME)
                        .putInt(WatchFrameDecoder.MAX_FRAME)
                        .putLong(7)
                        .put((byte) 1)
                        .array();
        WatchFrameDecoder frames = new WatchFrameDecoder();
        Set<Integer> rooms = new HashSet<>();
        for (int round = 0; round < 3; round++) {
            for (int at = 0; at < frame.length; at++) {
                assertNull(frames.next());
                frames.add(ByteBuffer.wrap(frame, at, 1));
                rooms.add(frames.room());
            }
            assertEquals(4096, frames.next().members().size());
        }
        assertTrue(rooms.size() <= 8, "the room changed for each piece: " + rooms.size());
        assertTrue(
                frames.room() <= 2 * (WatchFrameDecoder.MAX_FRAME + Integer.BYTES),
                "room " + frames.room());
    }

    private static List<InitialEventsReader.Event> known(String phase, String id) {
        return new InitialEventsReader(List.of("east"), List.of("std"))
                .read(
                        Json.parse(
                                        """
                                        {"offset":41,"batch":[{"offset":41,"topology":{
                                        "revision":7,"complete":true,"members":[
                                        {"id":"%s","host_port":"10.1.0.9:7001",
                                        "locality":"east","flavor":"std","cell":2,
                                        "phase":"%s","size":4,"up_since_ms":5000}]}}]}\
                                        """
                                                .formatted(id, phase))
                                .asObject());
    }

    @Test
    void knownEventsSayTheSameAsFrames() {
        assertEquals(
                List.of(new InitialEventsReader.Event(41, true, List.of(MEMBER))),
                known("Terminating", "s-00c41f7a"));
    }

    @ParameterizedTest
    @CsvSource({"Running,s-00c41f7a,phase", "Ready,00c41f7a,id", "Ready,s-x,id"})
    void knownEventsNameTheKeyAtFault(String phase, String id, String key) {
        ConfigException e = assertThrows(ConfigException.class, () -> known(phase, id));
        assertEquals("known.batch.0.topology.members.0." + key, e.getMessage().split(": ")[0]);
    }
}
