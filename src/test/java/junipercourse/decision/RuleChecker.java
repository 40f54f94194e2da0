package junipercourse.decision;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import junipercourse.decision.api.AttemptOutcome;
import junipercourse.decision.api.DecisionSettings;
import junipercourse.decision.api.DispatcherActions;
import junipercourse.decision.api.EngineId;
import junipercourse.decision.api.EngineListing;
import junipercourse.decision.api.EngineStage;
import junipercourse.decision.api.Idempotency;
import junipercourse.decision.api.QueryClass;
import junipercourse.decision.api.QueryRequest;
import junipercourse.decision.api.RequestId;

/** Checks the seven rules on every action; knows only events and actions, not the module. */
final class RuleChecker implements DispatcherActions {
    final DecisionSettings settings;
    final Map<EngineId, EngineListing> engines = new TreeMap<>();
    final Map<Long, Taken> requests = new LinkedHashMap<>();
    final List<Out> out = new ArrayList<>();
    final List<String> breaches = new ArrayList<>();
    private final List<Double> takenAt = new ArrayList<>();
    private final List<Double> resentAt = new ArrayList<>();
    private final Map<Long, List<Taken>> lines = new LinkedHashMap<>();
    private final Map<Long, Double> rest = new LinkedHashMap<>();
    private final List<double[]> cold = new ArrayList<>();
    double now;

    /** A request the module was given. */
    static final class Taken {
        final QueryRequest r;
        final QueryClass c;
        int attempts;
        int open;
        Out ran;
        boolean over;

        Taken(QueryRequest r, QueryClass c) {
            this.r = r;
            this.c = c;
        }
    }

    /** An attempt the module made. */
    static final class Out {
        Taken of;
        int index;
        EngineListing engine;
        double at;
        boolean cancelled;
    }

    RuleChecker(DecisionSettings settings) {
        this.settings = settings;
    }

    void taken(QueryRequest r) {
        Taken t = new Taken(r, settings.queryClasses().get(r.queryClass()));
        requests.put(r.id().value(), t);
        takenAt.add(now);
        if (t.c.orderedByKey()) {
            lines.computeIfAbsent(r.key(), k -> new ArrayList<>()).add(t);
        }
    }

    void ended(Out a, AttemptOutcome outcome, boolean over) {
        out.remove(a);
        a.of.open--;
        a.of.over |= over;
        if (!outcome.neverRan() && a.of.ran == null) {
            a.of.ran = a;
        }
        boolean unsure =
                outcome == AttemptOutcome.TIMEOUT
                        || outcome == AttemptOutcome.RESET
                        || outcome == AttemptOutcome.CANCELLED;
        if (unsure && a.of.c.orderedByKey()) {
            rest.put(a.of.r.key(), now + settings.guarantees().keySettleSeconds());
        }
    }

    void lookForLost() {
        for (Taken t : requests.values()) {
            check(
                    t.over || now <= t.r.deadlineAt() + settings.guarantees().answerGraceSeconds(),
                    "1 lost",
                    t.r.id());
        }
    }

    private void check(boolean kept, String rule, RequestId id) {
        if (!kept) {
            breaches.add(rule + " " + id.value());
        }
    }

    @Override
    public void startAttempt(RequestId id, EngineId engine, double giveUpAfter) {
        Taken t = requests.get(id.value());
        EngineListing e = engines.get(engine);
        check(!t.over, "1 sent after its end", id);
        effects(t, e, id);
        check(e.stage() == EngineStage.READY, "3 drain", id);
        coldBudget(e, id);
        if (t.c.orderedByKey()) {
            List<Taken> line = lines.get(t.r.key());
            boolean first =
                    line.subList(0, line.indexOf(t)).stream().allMatch(x -> x.over && x.open == 0);
            boolean rested = t.attempts > 0 || now >= rest.getOrDefault(t.r.key(), 0.0);
            check(first && rested, "5 order", id);
        }
        boolean zone = t.c.allowedZones().isEmpty() || t.c.allowedZones().contains(e.zone());
        check(
                zone && (t.c.allowedKinds().isEmpty() || t.c.allowedKinds().contains(e.kind())),
                "6 placement",
                id);
        if (t.attempts > 0) {
            resentAt.add(now);
            double window = settings.guarantees().retryBudgetWindowSeconds();
            double most =
                    settings.guarantees().retryBudgetMinimum()
                            + settings.guarantees().retryBudgetRatio()
                                    * takenAt.stream().filter(x -> x > now - window).count();
            check(resentAt.stream().filter(x -> x > now - window).count() <= most, "7 budget", id);
        }
        Out a = new Out();
        a.of = t;
        a.index = t.attempts++;
        a.engine = e;
        a.at = now;
        t.open++;
        out.add(a);
    }

    private void effects(Taken t, EngineListing e, RequestId id) {
        check(t.open == 0 || settings.limits().hedgingAllowed(), "2 two at once", id);
        check(t.attempts < settings.limits().maxAttempts(), "2 try limit", id);
        if (t.ran != null && t.c.idempotency() == Idempotency.NOT_IDEMPOTENT) {
            check(false, "2 once again", id);
        }
        if (t.ran != null && t.c.idempotency() == Idempotency.IDEMPOTENT_WITH_KEY) {
            check(
                    t.ran.engine.cell() == e.cell()
                            && now <= t.ran.at + t.c.deduplicationWindowSeconds(),
                    "2 group or window",
                    id);
        }
    }

    /** Each send weighs the usual work here: an end is drawn after 0.3 s on average. */
    private void coldBudget(EngineListing e, RequestId id) {
        var g = settings.guarantees();
        if (e.startedAt() > 0 && now < e.startedAt() + g.slowStartSeconds()) {
            cold.add(new double[] {now, e.id().value()});
            double work =
                    0.3
                            * cold.stream()
                                    .filter(
                                            x ->
                                                    x[0] > now - g.overloadWindowSeconds()
                                                            && x[1] == e.id().value())
                                    .count();
            double cores = settings.engineKinds().get(e.kind()).cores();
            check(
                    work
                            <= g.overloadMultiple()
                                    * g.slowStartInitialCapacity()
                                    * cores
                                    * g.overloadWindowSeconds(),
                    "4 cold",
                    id);
        }
    }

    @Override
    public void cancelAttempt(RequestId id, int attempt) {
        for (Out a : out) {
            if (a.of.r.id().equals(id) && a.index == attempt) {
                a.cancelled = true;
                return;
            }
        }
        breaches.add("cancel of no attempt " + id.value());
    }

    @Override
    public void reject(RequestId id, double coolDown) {
        Taken t = requests.get(id.value());
        boolean ran = t.ran != null || t.open > 0;
        check(
                !ran || t.c.idempotency() == Idempotency.IDEMPOTENT,
                "2 refused what may have run",
                id);
        check(!t.over, "1 two answers", id);
        t.over = true;
    }

    @Override
    public void fail(RequestId id) {
        Taken t = requests.get(id.value());
        check(!t.over, "1 two answers", id);
        t.over = true;
    }

    @Override
    public void setAttemptParameters(RequestId id, int priority, double memoryMb) {
        check(priority >= 0 && priority <= 3 && memoryMb >= 0, "terms", id);
    }

    @Override
    public void scheduleTimer(double delay, long token) {
        if (!(delay > 0)) {
            breaches.add("timer " + delay);
        }
    }

    @Override
    public void probeEngine(EngineId engine) {
        if (!engines.containsKey(engine)) {
            breaches.add("probe of unknown engine");
        }
    }

    @Override
    public void broadcastToPeers(byte[] payload) {
        if (payload.length > 256) {
            breaches.add("message of " + payload.length);
        }
    }

    @Override
    public void subscribeToEndpoints() {
        breaches.add("subscribed at a pushing site");
    }

    @Override
    public void log(String line) {
        if (line.isBlank()) {
            breaches.add("empty log line");
        }
    }
}
