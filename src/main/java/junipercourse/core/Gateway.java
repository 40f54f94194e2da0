package junipercourse.core;

import java.util.List;
import java.util.Set;
import java.util.function.DoubleConsumer;
import junipercourse.core.Backend.End;
import junipercourse.core.Backend.Member;
import junipercourse.core.Counters.Count;
import junipercourse.decision.DispatchApi.AttemptEnd;
import junipercourse.decision.DispatchApi.Effect;
import junipercourse.decision.DispatchApi.Engine;
import junipercourse.decision.DispatchApi.EngineId;
import junipercourse.decision.DispatchApi.KeyScope;
import junipercourse.decision.DispatchApi.NoteKind;
import junipercourse.decision.DispatchApi.Outcome;
import junipercourse.decision.DispatchApi.QueryClass;
import junipercourse.decision.DispatchApi.Request;
import junipercourse.decision.DispatchApi.RequestId;
import junipercourse.decision.DispatchApi.RosterKind;
import junipercourse.decision.DispatchApi.Settings;
import junipercourse.decision.Dispatcher;
import junipercourse.liveness.Arrival;
import junipercourse.liveness.Attention;
import junipercourse.net.Loop;
import org.tinylog.Logger;

/**
 * Drives the decision module: tells it the events of a turn, lets it decide once, and carries out what it
 * asks for. Every query gets one final answer by {@link Answers}, whatever the module does.
 */
public final class Gateway extends PlatformActions {
    /** The module answers before this; it is the net below it, and still in time for the client. */
    private static final double LAST_MOMENT_S = 0.012;
    /** A load report that may be older tells of another time. */
    private static final double REPORT_AGE_S = 0.5;

    private final Loop loop;
    private final Settings settings;
    private final Backend backend;
    private final Counters counters;
    private final Dispatcher module;
    private final ClassFigures figures;
    private final EngineList engines = new EngineList();
    private final Answers answers;
    private final KeyAdmission keys;
    private final Turns turns;

    /** Past {@code mostTaken} queries in hand, those that wait for an engine are refused. */
    public Gateway(Loop loop, Settings settings, long seed, int mostTaken, Backend backend,
            Counters counters) {
        this.loop = loop;
        this.settings = settings;
        this.backend = backend;
        this.counters = counters;
        this.figures = new ClassFigures(settings.classes().size());
        this.answers = new Answers(loop, counters, figures);
        this.module = new Dispatcher(settings, seed, this);
        module.takeAtMost(mostTaken);
        this.keys = new KeyAdmission(loop, this::event, this::tellOrFail, (x, now) -> unordered(x));
        this.turns = new Turns(loop, counters, keys::turnTold, module::settle);
        loop.onStall(this::resumed);
    }

    // ---- what the fronts and the roster tell ----

    /**
     * Takes a query; its reply is called once, later. The id is good for {@link #abandon}. It is 0 for one
     * that is not taken: engines know queries by the client's id, and one is open or still out under this.
     */
    public long take(Query query, Reply reply) {
        Exchange x = answers.take(query, reply);
        if (x == null) {
            return 0;
        }
        x.lastMoment = loop.at(query.notAfter() - LAST_MOMENT_S, () -> lastMoment(x));
        event(now -> {
            if (ordered(query)) {
                keys.admit(x, now);
            } else {
                tellOrFail(x, now);
            }
        });
        return x.id;
    }

    private boolean ordered(Query query) {
        return query.orderKey() != 0 && settings.classes().get(query.queryClass()).serialByKey();
    }

    private void event(DoubleConsumer event) {
        turns.event(event);
    }

    /** It never ran, and trying again is harmless: only that keeps the order where it cannot be known. */
    private void unordered(Exchange x) {
        counters.add(Count.QUERIES_UNORDERED);
        answers.refused(x, settings.limits().retryAfter() ? settings.limits().maxRetryAfter() : 0,
                "the order of this key's queries is not known after a pause of the dispatcher");
    }

    private void tellOrFail(Exchange x, double now) {
        if (!x.answered && !tell(x, now)) {
            answers.failed(x, "internal error");
        }
    }

    /**
     * After a stall: whatever engines said meanwhile has been read by now, and what they did not say proves
     * nothing. The module is told a sign of life for each attempt, so that it counts silence from now on.
     */
    private void resumed(Attention.Stall stall) {
        counters.add(Count.STALLS_SEEN);
        for (Exchange x : answers.all()) {
            if (x.out != null) {
                counters.add(Count.STALLS_REEXAMINED);
                int attempt = x.attempts - 1;
                event(now -> module.note(now, new RequestId(x.id), attempt, NoteKind.PROGRESS, 0));
            }
        }
    }

    /** False if the module failed at it: that costs this query, and no other. */
    private boolean tell(Exchange x, double now) {
        Query query = x.query;
        return turns.guarded(at -> module.request(at, new Request(new RequestId(x.id), query.queryClass(),
                query.tenant(), query.notAfter(), query.orderKey(), query.tableGroup(), query.cost(),
                query.memoryMb(), query.clientRetry())), now);
    }

    /** The client has left: no answer is owed any more. */
    public void abandon(long id) {
        Exchange x = answers.find(id);
        if (x != null && !x.answered) {
            answers.left(x);
            abandonInModule(x);
        }
    }

    /** News of the engine list; the back end knows of it before anything more is sent. */
    public void roster(RosterKind kind, List<Member> members) {
        counters.add(Count.ROSTER_EVENTS);
        tellOfEngines(kind, engines.news(kind, members));
    }

    /** Bounds the queries in hand from now on, as the constructor does. */
    public void takeAtMost(int queries) {
        module.takeAtMost(queries);
    }

    /** Which engines the staff have taken out by hand: they are draining here, whatever the list says. */
    public void takenOut(Set<EngineId> ids) {
        List<Member> changed = engines.out(ids, loop.now());
        if (!changed.isEmpty()) {
            tellOfEngines(RosterKind.DELTA, changed);
        }
    }

    private void tellOfEngines(RosterKind kind, List<Member> members) {
        backend.roster(kind, members);
        event(now -> module.roster(now, kind, members.stream().map(m -> onLoopTime(m.engine())).toList()));
    }

    /** The list gives starts in Unix time, which may have stepped since this process began. */
    private Engine onLoopTime(Engine e) {
        return e.startedAt() <= 0 ? e : new Engine(e.id(), e.zone(), e.kind(), e.cell(), e.stage(),
                e.rating(), loop.fromUnix(e.startedAt()));
    }

    /** The engines in the list; none before the first list has come. */
    public Set<EngineId> engines() {
        return engines.ids();
    }

    /** Whether a list of engines has come, be it an empty one. */
    public boolean knowsEngines() {
        return engines.told();
    }

    /** How many listed engines get nothing new, whether by hand or by the module's choice. */
    public int skippedEngines() {
        return engines.skipped(Set.copyOf(module.leftOut()));
    }

    /** What was answered and tried, by class. */
    public ClassFigures figures() {
        return figures;
    }

    /** Queries without a final answer. */
    public int open() {
        return answers.open();
    }

    /** Runs a task as soon as no query is open. */
    public void whenIdle(Runnable task) {
        answers.whenIdle(task);
        event(now -> answers.checkIdle());
    }

    /**
     * Sends what has not been started to the process that comes after this one: clients may hold only so many
     * connections to both, and what waits here would keep others out there.
     */
    public void handOver() {
        for (Exchange x : answers.all()) {
            if (!x.answered && x.attempts == 0) {
                answers.refused(x, 0, "the dispatcher is being replaced");
                abandonInModule(x);
            }
        }
    }

    /** Answers what is still open: a client told now can go elsewhere; one cut off by our end cannot tell. */
    public void answerAll() {
        for (Exchange x : answers.all()) {
            if (!x.answered) {
                QueryClass c = settings.classes().get(x.query.queryClass());
                boolean dropped = c.effect() == Effect.BY_KEY && c.scope() == KeyScope.ALL;
                if (x.attempts == 0 || c.effect() == Effect.REPEATABLE || dropped) {
                    answers.refused(x, 0, "the dispatcher is shutting down");
                } else {
                    answers.failed(x, "the dispatcher is shutting down");
                }
                abandonInModule(x);
            }
        }
    }

    // ---- answers ----

    private void lastMoment(Exchange x) {
        x.lastMoment = null;
        if (!x.answered) {
            counters.add(Count.QUERIES_LAST_MOMENT);
            answers.failed(x, "out of time");
            abandonInModule(x);
        }
    }

    private void abandonInModule(Exchange x) {
        event(now -> module.abandoned(now, new RequestId(x.id)));
    }

    private void ended(Exchange x, EngineId engine, int attempt, double sentAt, End end) {
        x.out = null;
        loop.cancel(x.attemptTimeout);
        x.attemptTimeout = null;
        counters.add(Count.valueOf("ENDS_" + end.outcome()));
        if (end.outcome() == Outcome.OK && !x.answered) {
            answers.served(x, end.pages());
        }
        boolean over = x.answered;
        // An answer that lay unread came earlier: how long we took to read it is no latency of the engine's.
        Arrival read = loop.arrival();
        boolean late = end.outcome() == Outcome.OK && !read.narrow();
        double cameAt = Math.max(Math.max(sentAt, read.after()), turns.last());
        float[] report = read.width() < REPORT_AGE_S ? end.report() : new float[0];
        event(now -> module.attemptEnd(late ? cameAt : now, new AttemptEnd(new RequestId(x.id), attempt,
                engine, end.outcome(), (late ? cameAt : now) - sentAt, over, end.trueCost(), end.trueMb(),
                report)));
        answers.release(x);
    }

    // ---- what the module asks for ----

    @Override
    public void send(RequestId id, EngineId engine, double giveUpAfter) {
        Exchange x = answers.find(id.value());
        double now = loop.now();
        boolean spent = x != null && settings.limits().tryLimit() > 0
                && x.attempts >= settings.limits().tryLimit();
        if (x == null || x.answered || x.out != null || spent || now >= x.query.notAfter()) {
            counters.add(Count.ATTEMPTS_NOT_SENT);
            int attempt = x == null ? 0 : x.attempts++;
            event(later -> module.attemptEnd(later, new AttemptEnd(id, attempt, engine, Outcome.MOOT, 0,
                    x == null || x.answered, 0, 0, new float[0])));
            return;
        }
        int attempt = x.attempts++;
        counters.add(Count.ATTEMPTS_SENT);
        double until = giveUpAfter > 0 ? Math.min(now + giveUpAfter, x.query.notAfter()) : x.query.notAfter();
        x.out = backend.start(engine, x.query, until, new Backend.Ending() {
            @Override
            public void ended(End end) {
                Gateway.this.ended(x, engine, attempt, now, end);
            }

            @Override
            public void written() {
                figures.tried(x.query.queryClass());
            }
        });
        x.attemptTimeout = loop.at(until, () -> x.out.giveUp(Outcome.TIMEOUT));
    }

    @Override
    public void cancel(RequestId id, int attempt) {
        Exchange x = answers.find(id.value());
        if (x != null && x.out != null && attempt == x.attempts - 1) {
            counters.add(Count.ATTEMPTS_CALLED_OFF);
            x.out.giveUp(Outcome.CANCELLED);
        }
    }

    @Override
    public void refuse(RequestId id, double coolDown) {
        Exchange x = answers.find(id.value());
        if (x != null && !x.answered) {
            answers.refused(x, coolDown, "no engine can take this query in time");
        }
    }

    @Override
    public void fail(RequestId id) {
        Exchange x = answers.find(id.value());
        if (x != null && !x.answered) {
            answers.failed(x, "the query could not be brought to an end");
        }
    }

    @Override
    public void timer(double delay, long token) {
        loop.after(delay, () -> event(now -> module.timer(now, token)));
    }

    @Override
    public void log(String line) {
        Logger.info(line);
    }
}
