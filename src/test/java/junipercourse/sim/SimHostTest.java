package junipercourse.sim;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import junipercourse.config.SettingsReader;
import junipercourse.decision.api.DecisionSettings;
import junipercourse.decision.api.Idempotency;
import org.junit.jupiter.api.Test;

class SimHostTest {
    private static final String SETTINGS =
            "grades.count=1\n"
                    + "grades.0.effect=repeatable\n"
                    + "grades.0.goal_time_s=1\n"
                    + "grades.0.deadline_s=5\n"
                    + "limits.cancel=true\n"
                    + "unheard.of=7\n"
                    + "kinds=k\n"
                    + "family_info.size_cores=8";

    private final ByteArrayOutputStream errors = new ByteArrayOutputStream();
    private final ByteArrayOutputStream output = new ByteArrayOutputStream();

    private static ByteBuffer buffer() {
        return ByteBuffer.allocate(4096).order(ByteOrder.LITTLE_ENDIAN);
    }

    private static byte[] frame(double now, int records, int batch, ByteBuffer body) {
        body.flip();
        ByteBuffer frame =
                ByteBuffer.allocate(20 + body.remaining()).order(ByteOrder.LITTLE_ENDIAN);
        frame.putInt(16 + body.remaining()).putDouble(now).putInt(records).putInt(batch).put(body);
        return frame.array();
    }

    private int run(byte[]... frames) {
        ByteArrayOutputStream input = new ByteArrayOutputStream();
        for (byte[] frame : frames) {
            input.writeBytes(frame);
        }
        return new SimHost(new PrintStream(errors))
                .run(new ByteArrayInputStream(input.toByteArray()), output);
    }

    private static ByteBuffer create(ByteBuffer body, int instance) {
        byte[] text = SETTINGS.getBytes(StandardCharsets.UTF_8);
        body.putShort((short) 266).putInt(instance).putShort((short) 263).putInt(0).putInt(1);
        body.putInt(77).put((byte) 0).putShort((short) 0).putShort((short) 0).put((byte) 1);
        body.putFloat(1).putDouble(0);
        body.putShort((short) 268).putLong(5).putInt(text.length).put(text);
        return body.putShort((short) 264).put((byte) 2).putInt(1).putInt(0);
    }

    private static ByteBuffer ingress(ByteBuffer body, long id, double deadline) {
        body.putShort((short) 259)
                .putLong(id)
                .put((byte) 0)
                .putInt(0)
                .putFloat(3)
                .putDouble(deadline);
        return body.putLong(0).putShort((short) 0).putFloat(0).putDouble(0);
    }

    @Test
    void emptyBatchGetsAnEmptyReply() {
        assertEquals(0, run(frame(9, 0, 1, buffer())));
        assertArrayEquals(new byte[] {0, 0, 0, 0, 4, 0, 0, 0, 1, 0, 0, 0}, output.toByteArray());
    }

    @Test
    void requestIsSentToTheOnlyEngine() {
        assertEquals(0, run(frame(9, 5, 4, ingress(create(buffer(), 3), 42, 13))));
        ByteBuffer reply = ByteBuffer.wrap(output.toByteArray()).order(ByteOrder.LITTLE_ENDIAN);
        assertEquals(3, reply.getInt());
        assertEquals(output.size() - 8, reply.getInt());
        assertEquals(4, reply.getInt());
        assertEquals(267, reply.getShort());
        assertEquals(3, reply.getInt());
        assertEquals(257, reply.getShort());
        assertEquals(42, reply.getLong());
        assertEquals(0.0, reply.getDouble());
        assertEquals(77, reply.getInt());
        assertEquals(256, reply.getShort());
        reply.getDouble();
        reply.getInt();
        assertEquals(0, reply.remaining());
    }

    @Test
    void crashAndCreateInOneBatchStartNewInstance() {
        ByteBuffer secondBatch = buffer().putShort((short) 266).putInt(3).putShort((short) 258);
        assertEquals(
                0,
                run(frame(9, 4, 1, create(buffer(), 3)), frame(10, 6, 2, create(secondBatch, 3))));
        assertEquals("", errors.toString());
    }

    @Test
    void unknownRecordCodeIsReported() {
        assertEquals(1, run(frame(9, 1, 6, buffer().putShort((short) 999))));
        assertEquals("simhost: batch 6: unknown record code 999 at byte 16\n", errors.toString());
        assertEquals(0, output.size());
    }

    @Test
    void unknownInstanceIsReported() {
        ByteBuffer body = buffer().putShort((short) 266).putInt(8).putShort((short) 256).putInt(1);
        assertEquals(1, run(frame(9, 2, 6, body)));
        assertTrue(errors.toString().contains("unknown instance 8"));
    }

    @Test
    void truncatedInputFailsAfterCompleteReplies() {
        byte[] completeFrame = frame(9, 0, 1, buffer());
        assertEquals(1, run(completeFrame, new byte[] {16, 0, 0, 0, 1}));
        assertEquals("simhost: input ends in mid-frame: 1 of 16 bytes\n", errors.toString());
        assertEquals(12, output.size());
    }

    @Test
    void truncatedRecordFails() {
        assertEquals(1, run(frame(9, 1, 1, buffer().putShort((short) 266).put((byte) 1))));
        assertTrue(errors.toString().contains("ends inside a field"));
    }

    @Test
    void invalidSettingsAreReportedWithTheirKey() {
        assertThrown("grades.count: missing", "a=b");
        assertThrown(
                "grades.0.deadline_s: not a number: x",
                SETTINGS.replace("deadline_s=5", "deadline_s=x"));
        assertThrown("grades.0.effect: unknown maybe", SETTINGS.replace("repeatable", "maybe"));
        assertThrown(
                "classes: must contain at least one query class",
                SETTINGS.replace("grades.count=1", "grades.count=0"));
    }

    private static void assertThrown(String expectedMessage, String text) {
        var e = assertThrows(IllegalArgumentException.class, () -> SettingsReader.read(text));
        assertTrue(e.getMessage().contains(expectedMessage), e.getMessage());
    }

    @Test
    void absentKeysTakeTheirDefaults() {
        DecisionSettings settings = SettingsReader.read(SETTINGS + "\ngrades.0.dcs_allowed=0,2");
        assertEquals(Idempotency.IDEMPOTENT, settings.queryClasses().get(0).idempotency());
        assertEquals(Set.of(0, 2), settings.queryClasses().get(0).allowedZones());
        assertEquals(1, settings.queryClasses().get(0).threads());
        assertEquals(0, settings.guarantees().retryBudgetWindowSeconds());
        assertEquals(8, settings.engineKinds().get(0).cores());
    }
}
