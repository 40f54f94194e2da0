package junipercourse.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.HexFormat;
import java.util.List;
import junipercourse.decision.api.DecisionSettings;
import junipercourse.decision.api.Idempotency;
import junipercourse.decision.api.PlatformLimits;
import junipercourse.decision.api.Tenant;
import org.junit.jupiter.api.Test;

/**
 * Keeps the encoding in which dispatchers exchange their load, so that versions can run together.
 */
class PeerLoadBytesTest {
    private static DecisionSettings settings() {
        DecisionSettings base =
                RecordingDispatcher.fleetSettings(
                        2, RecordingDispatcher.queryClass(Idempotency.IDEMPOTENT, 1, 10, 3));
        return new DecisionSettings(
                2,
                0,
                0,
                false,
                base.capacityRating(),
                1,
                base.loadReportChannel(),
                base.loadMetrics(),
                base.queryClasses(),
                List.of(new Tenant("t", 1, 200)),
                base.engineKinds(),
                new PlatformLimits(true, false, true, false, true, 0.5, 4, 0.25),
                base.guarantees(),
                base.engineCapabilities());
    }

    @Test
    void encodesThreadsAndMemoryOfEachEngineInStableBytes() {
        RecordingDispatcher dispatcher = new RecordingDispatcher(settings());
        dispatcher.listReadyEngines(4);
        for (int i = 0; i < 3; i++) {
            dispatcher.receiveRequest(i, 0, dispatcher.now + 10, 0);
        }
        dispatcher.advance(0.5);
        assertEquals(
                "00000001001e000000000002001e000000000003001e0000",
                HexFormat.of().formatHex(dispatcher.peerPayloads.get(0)));
    }

    @Test
    void countsLoadReportedByAPeer() {
        RecordingDispatcher dispatcher = new RecordingDispatcher(settings());
        dispatcher.listReadyEngines(4);
        byte[] payload =
                HexFormat.of()
                        .parseHex("0000000100a00000" + "0000000200a00000" + "0000000300a00000");
        dispatcher.module.peerMessageReceived(dispatcher.now, 1, payload);
        dispatcher.module.decide(dispatcher.now);
        dispatcher.receiveRequest(1, 0, dispatcher.now + 10, 0);
        assertEquals(
                4,
                dispatcher.takeSentEngineId(),
                "the only engine on which the peer reports no load");
    }
}
