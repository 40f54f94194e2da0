package junipercourse.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import junipercourse.decision.DispatchApi.AttemptEnd;
import junipercourse.decision.DispatchApi.Effect;
import junipercourse.decision.DispatchApi.Engine;
import junipercourse.decision.DispatchApi.EngineId;
import junipercourse.decision.DispatchApi.Guarantees;
import junipercourse.decision.DispatchApi.LoadField;
import junipercourse.decision.DispatchApi.Outcome;
import junipercourse.decision.DispatchApi.Request;
import junipercourse.decision.DispatchApi.RequestId;
import junipercourse.decision.DispatchApi.RosterKind;
import junipercourse.decision.DispatchApi.Settings;
import junipercourse.decision.DispatchApi.Stage;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Queue;
import org.junit.jupiter.api.Test;

/** What many dispatchers do together to engines of 10 cores; each knows only its own part. */
class FleetTest {
    private static final int GATEWAYS = 14;
    private static final double WORK_S = 0.3;
    private static final double NEW = 99;

    /** Dispatchers that are told of load by the share of busy cores, as in service. */
    private static List<Fixture> fleet(int engines) {
        List<Fixture> fleet = new ArrayList<>();
        for (int i = 0; i < GATEWAYS; i++) {
            Settings s = Fixture.many(GATEWAYS, Fixture.queryClass(Effect.REPEATABLE, 1.2, 6, 1));
            Fixture f = new Fixture(new Settings(GATEWAYS, i, 0, false, s.weights(), 1, s.telemetry(),
                    List.of(LoadField.BUSY), s.classes(), s.tenants(), s.kinds(), s.limits(), s.guarantees(),
                    s.engines()), i + 1);
            f.engines(engines);
            fleet.add(f);
        }
        return fleet;
    }

    private static void request(Fixture f, long id) {
        f.module.request(f.now, new Request(new RequestId(id), 0, 0, f.now + 6, 0, 0, WORK_S, 0, false));
        f.module.settle(f.now);
    }

    private static void answer(Fixture f, String send, float busy) {
        String[] part = send.split(" ");
        f.module.attemptEnd(f.now, new AttemptEnd(new RequestId(Long.parseLong(part[1])), 0,
                new EngineId(Long.parseLong(part[2])), Outcome.OK, 0, true, 0, 0, new float[] {busy}));
        f.module.settle(f.now);
    }

    /** A while in which every answer takes so long and tells of so many busy cores. */
    private static void serve(Fixture f, double seconds, float busy) {
        for (int i = 0; i < 60; i++) {
            request(f, 1000 + i);
            List<String> sends = f.take().stream().filter(a -> a.startsWith("send")).toList();
            f.run(seconds);
            sends.forEach(s -> answer(f, s, busy));
        }
        f.take();
    }

    private static long sends(List<String> actions) {
        return actions.stream().filter(a -> a.startsWith("send")).count();
    }

    @Test
    void thrashingEnginesAreNotTakenForIdle() {
        long sent = 0;
        int engines = 12;
        for (Fixture f : fleet(engines)) {
            serve(f, WORK_S * 5, 0.4f);
            for (int i = 0; i < 100; i++) {
                request(f, 5000 + i);
            }
            sent += sends(f.take());
        }
        assertTrue(sent > engines * 10, "they still get what they bear: " + sent);
        assertTrue(sent <= engines * 10 * 2.2, "threads out on 120 cores: " + sent);
    }

    @Test
    void idleEnginesOfAQuickFleetTakeABurst() {
        Fixture f = fleet(12).get(0);
        serve(f, WORK_S, 0.1f);
        for (int i = 0; i < 40; i++) {
            request(f, 5000 + i);
        }
        assertEquals(40, sends(f.take()), "far over our part, which others leave free");
    }

    @Test
    void anEngineThatTurnsQueriesAwayIsFullWhateverItsCoresTell() {
        Fixture f = fleet(1).get(0);
        request(f, 1);
        f.module.attemptEnd(f.now, new AttemptEnd(new RequestId(1), 0, new EngineId(1),
                Outcome.TURNED_AWAY, 0, false, 0, 0, new float[] {0.1f}));
        f.module.settle(f.now);
        assertEquals(1, sends(f.take()), "and no second time at once");
    }

    /** All hear of a new engine at once while the others are full: it is used, and not pushed over. */
    @Test
    void allTogetherUseANewEngineAndStayUnderTheColdStartRule() {
        List<Fixture> fleet = fleet(4);
        Guarantees g = Fixture.GUARANTEES;
        List<Double> sentAt = new ArrayList<>();
        for (Fixture f : fleet) {
            serve(f, WORK_S * 4, 1);
            double start = f.now;
            f.module.roster(f.now, RosterKind.DELTA,
                    List.of(new Engine(new EngineId((long) NEW), 0, 0, 0, Stage.READY, 1, start)));
            Queue<Map.Entry<Double, String>> out = new PriorityQueue<>(Map.Entry.comparingByKey());
            for (int i = 0; i < 240; i++) { // the new one answers soon, the others late
                if (i % 3 == 0) {
                    request(f, 5000 + i);
                }
                f.run(0.025);
                f.take().stream().filter(a -> a.startsWith("send")).forEach(a -> {
                    boolean fresh = a.endsWith(" 99");
                    out.add(Map.entry(f.now + WORK_S * (fresh ? 1 : 4), a));
                    if (fresh) {
                        sentAt.add(f.now - start);
                    }
                });
                while (!out.isEmpty() && out.peek().getKey() <= f.now) {
                    String send = out.poll().getValue();
                    answer(f, send, send.endsWith(" 99") ? 0.3f : 1);
                }
            }
        }
        long soon = sentAt.stream().filter(t -> t < 3).count();
        assertTrue(soon * WORK_S > 0.3 * g.coldFrom() * 10 * 3, "left idle, sent " + soon);
        for (double from = 0; from < 6; from += 0.1) {
            double at = from;
            double work = sentAt.stream().filter(t -> t >= at && t < at + g.fallWindow()).count() * WORK_S;
            double most = g.fallMultiple() * g.coldFrom() * 10 * g.fallWindow();
            assertTrue(work <= most, "work " + work + " of " + most + " from " + from);
        }
    }
}
