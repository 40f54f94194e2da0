package junipercourse.decision;

import junipercourse.decision.State.*;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;

/**
 * The decision module; its interface is {@link DispatchApi}, in DispatchApi.java beside this file.
 *
 * <p>T+F of the TAGS analysis: first tries run on a front pool; an attempt that outlives its class's cutoff
 * is cancelled and restarted from scratch on a small back tier, which runs it to completion. Around that
 * stand admission (hold here, bound what is out per engine), health, and one guard for each rule.
 */
public final class Dispatcher implements DispatchApi, DispatchApi.Events {
    // Tuned values: no figure of any one deployment. Times are seconds.
    private static final double BACK_PART = 0.25; // of the engines, by sorted id: design default
    private static final int FRONT_FEW = 6; // front engines ranked for a query: a few give most of the choice
    private static final int BACK_FEW = 2; // and back engines
    private static final double RETRY_S = 0.05; // between looks at what waits: well under any latency aim
    private static final double RETRY_PART = 0.2; // of the time waited, if that is longer: many wait in a jam
    private static final double LOOK_S = 0.5; // between looks at what runs: cutoffs move that slowly
    private static final double CUTOFF_S = 1.0; // between cutoffs: answers do not come in faster
    private static final int SAMPLES = 200; // a class: enough to see a tail of a few per cent
    private static final int MIN_SAMPLES = 3; // of any class; fewer tell no tail: cut at the deadline
    private static final double SHAPE_TRUST = 20; // own samples that weigh like the shape of all classes
    private static final double BACK_FILL = 0.8; // of our back cores for tail work; rest for chance
    private static final double BOUND = 1.65; // threads a core out in all; engines thrash past some such
    private static final double FORETOLD_TRUST = 0.7; // of a time foretold by progress: notes are rough
    private static final double RESTART_ROOM = 1.2; // a restart may pass the bound: its work was paid once
    private static final double PART_SURE = 1; // by which a gateway of much traffic may pass its part
    private static final double OVER_PART = 0.2; // of it is open to what is over a customer's share
    private static final double STRAIN_MIN = 0.3; // of the bound: a fleet less loaded than this is idle
    private static final double STRAIN_MOST = 1.6; // leaves 0.6 threads a core: all keep a part
    private static final double MEMORY_FILL = 0.95; // of an engine's memory in grants: estimates scatter
    private static final double GRANT_SLACK = 1.2; // over the estimate: a spill costs more than spare MB
    private static final double GRANT_STEP = 0.1; // of the log of grant over estimate, for each answer
    private static final double GRANT_QUANTILE = 0.85; // of queries whose need the grant should meet
    private static final double NEAR = 0.12; // threads a core: random among these, so nobody herds
    private static final int FRONT_HOMES = 4; // front engines where a group is read first, by hash
    private static final double HOME_BONUS = 0.4; // threads a core that the first home of a group is worth
    private static final int LOAD_HOMES = 2; // engines that loads of a group go to first, by hash
    private static final double LOAD_HOME = 0.8; // threads a core that the first of them is worth
    private static final double HELD_PENALTY = 1.0; // threads a core, where a load holds the group
    private static final double GAIN = 0.08; // of a new sample in running means of logs
    private static final double WORD_GAIN = 0.1; // of a new report in the usual load of engines
    private static final double FAIR = 3, FAIR_FEW = 2; // power of the part of a class started; prior of it
    private static final double SAMPLE_CAP = 4; // most slowness one sample tells: it may be a bad plan
    private static final double SILENT_TIMES = 4; // expected latencies without a sign: it hangs
    private static final double SILENT_S = 1.5; // and at least this long
    private static final int FAULTS = 2; // errors without an answer between: one is chance
    private static final int BREAKS = 3; // connections broken without an answer between: it is dead
    private static final double ALIVE_S = 0.5; // an engine that answered so lately is not dead
    private static final int QUERY_ERRORS = 3; // of one query at engines that serve others: it is at fault
    private static final double TRIAL_S = 1.0; // first pause of an ejected engine before a trial
    private static final double TRIAL_MAX_S = 8.0; // longest such pause: a return is worth noticing
    private static final double EJECT_PART = 0.34; // of engines out at most; if more seem bad, all are slow
    private static final double FULL_BUSY = 0.93; // share of cores told as busy that may be all: words lag
    private static final double ANSWER_LEAD_S = 0.04; // before the deadline: an answer needs a turn
    private static final double LATE_MIN = 0.2; // late answers worth less are not waited for
    private static final double LATE_HOLD = 0.5; // of its time a request is held once its aim is lost
    private static final double RATE_S = 30; // over which usual traffic is averaged
    private static final double BURST_S = 1.5; // of a customer's share may come at once
    private static final double SHARE_SLACK = 1.1; // our part of traffic is a guess: benefit of doubt
    private static final double PROBES_PER_REQUEST = 0.35; // probes scale with traffic
    private static final int PROBES_AT_ONCE = 3; // for one query: more would herd on one best engine
    private static final double FRESH_S = 0.4; // a younger word is not asked for again: reports lag as much
    private static final double WORD_S = 1.0; // in which a word of an engine fades to the usual load
    private static final double PROBE_WAIT_S = 0.01; // a query waits for the words it asked for: round trips
    private static final double TELL_S = 0.15; // between messages to peers: a query's time or less
    private static final double TELL_PER_REQUEST = 0.3; // full messages delivered for each request, at most
    private static final double PEER_OLD_S = 1.5; // a silent peer's work out is no longer counted
    private static final int HELD_LEAST = 4; // may always wait: room comes every few milliseconds
    private static final int MISSES = 12; // held requests without an engine that end a pass
    private static final double CORES_UNTOLD = 8; // for each unit of rating, where the kind tells none
    private static final double CROWDED = 1.7, CROWDED_USUAL = 1.5; // thread seconds for one of work; prior
    private static final double CROWD_S = 3, CROWD_PRIOR = 2; // counted over; work before any
    private static final double USUAL = 1; // threads a core of others, until engines tell: starts meet load
    private static final double TICK_S = 0.001; // shortest timer

    private final Settings settings;
    private final Actions actions;
    private final SplittableRandom random;
    private final Map<EngineId, Node> nodes = new TreeMap<>();
    private final List<Node> front = new ArrayList<>();
    private final List<Node> back = new ArrayList<>();
    private final Map<RequestId, Job> jobs = new HashMap<>();
    private final List<Job> held = new ArrayList<>();
    private final Looks looks = new Looks();
    private final Homes homesOf = new Homes();
    private final KeyLines keyLines = new KeyLines();
    private final Window taken = new Window();
    private final Window resent = new Window();
    private final Peers peers = new Peers();
    private final Mix mix = new Mix();
    private final ColdBudget coldBudget;
    private final Crowding crowding = new Crowding(CROWD_S, CROWD_PRIOR, CROWDED_USUAL);
    private final ProductLimit shape = new ProductLimit(SAMPLES);
    private final ClassView[] classes;
    private final List<Bucket> shares;
    private final double totalQuota;
    private final boolean anyLoads;
    private double startedAt = Double.NaN, nextSubscribe = Double.POSITIVE_INFINITY;
    private double wakeAt = Double.POSITIVE_INFINITY;
    private double rate, rateAt, nextCutoffs, nextTell, probeCredit, middleSlow, usualOthers = USUAL;
    private double backCores, allCores, warmCores, openThreads;
    private int ejectedNow, mostTaken = Integer.MAX_VALUE;
    private long order;
    private boolean dirty, nobody;

    public Dispatcher(Settings settings, long seed, Actions actions) {
        this.settings = settings;
        this.coldBudget = new ColdBudget(settings.guarantees());
        this.actions = actions;
        this.random = new SplittableRandom(seed);
        this.totalQuota = settings.tenants().stream().mapToDouble(Tenant::quotaPerS).sum();
        this.anyLoads = settings.classes().stream().anyMatch(QueryClass::load);
        this.classes = new ClassView[settings.classes().size()];
        Arrays.setAll(classes, i -> new ClassView(settings.classes().get(i), SAMPLES, Math.log(GRANT_SLACK)));
        this.rate = totalQuota / settings.gateways();
        this.shares = settings.tenants().stream().map(t -> new Bucket()).toList();
    }

    /**
     * Bounds what is in hand, at the cost of what waits for an engine and is worth least. Clients may open
     * only so many connections: once all are taken, others are kept out whatever they are worth.
     */
    public void takeAtMost(int queries) { mostTaken = queries; }

    /** The engines that are left out for now, by its own choice. */
    public List<EngineId> leftOut() { return nodes.values().stream().filter(n -> n.ejected).map(n -> n.id).toList(); }

    // ---- events: they are only taken in here; settle judges and sends once all of a moment are told,
    // so that a gateway that had no turn for a while does not take its own silence for the engines' ----

    @Override public void roster(double now, RosterKind kind, List<Engine> entries) {
        start(now);
        if (kind == RosterKind.FAILED) {
            nextSubscribe = now + TRIAL_S * (1 + random.nextDouble());
            return;
        }
        if (kind != RosterKind.DELTA) { nodes.values().forEach(n -> n.entry = null); }
        for (Engine e : entries) {
            Node n = nodes.computeIfAbsent(e.id(), Node::new);
            if (n.entry != null && !rule3Listed(n) && e.stage() == Stage.READY) { readmit(n, "put back"); }
            n.entry = e.stage() == Stage.GONE ? null : e;
            Kind k = e.kind() < settings.kinds().size() ? settings.kinds().get(e.kind()) : new Kind("", 0, 0);
            n.cores = k.cores() > 0 ? k.cores() : CORES_UNTOLD * Math.max(e.rating(), 0.1);
            n.memoryMb = k.memoryMb();
            if (e.startedAt() > 0 && e.startedAt() > n.coldFrom) {
                n.slow = 0;
                startCold(n, e.startedAt());
            }
        }
        List<Node> gone = nodes.values().stream().filter(n -> n.entry == null && n.out == 0).toList();
        gone.forEach(n -> readmit(n, "gone"));
        nodes.values().removeAll(gone);
        splitTiers();
        nobody = kind != RosterKind.CACHED && nodes.values().stream().allMatch(n -> n.entry == null);
        if (nobody) { held.forEach(job -> looks.add(now, job)); }
        dirty = true;
    }

    @Override public void request(double now, Request r) {
        if (r.queryClass() < 0 || r.queryClass() >= classes.length) {
            throw new IllegalArgumentException("request class " + r.queryClass() + " is not in the settings");
        }
        ClassView v = classes[r.queryClass()];
        taken.add(now);
        probeCredit = Math.min(probeCredit + PROBES_PER_REQUEST, PROBES_AT_ONCE);
        Job job = new Job(r, v, now, order++, overShare(now, r), random.nextDouble());
        v.arrivals++;
        v.asked += job.over ? 0 : 1;
        if (r.cost() > 0) {
            v.logUnit = mean(v.logUnit, Math.log(unit(job)));
            v.work = mean(v.work, r.cost());
        }
        jobs.put(r.id(), job);
        keyLines.add(job);
        if (hopeless(now, job)) { // rule 1: some arrive with their time all but gone
            finish(now, job);
        } else { hold(now, job); }
    }

    @Override public void streamBegun(double now, RequestId id, int attempt, EngineId engine) {
        Job job = jobs.get(id);
        if (job != null && job.run != null && job.run.index == attempt) {
            sign(now, job.run.node);
            job.run = null; // it may neither be cut nor called off any more
            job.streaming = true;
        }
    }

    @Override public void note(double now, RequestId id, int attempt, NoteKind kind, double value) {
        Job job = jobs.get(id);
        if (job != null && job.run != null && job.run.index == attempt) {
            sign(now, job.run.node);
            job.run.spilled |= kind == NoteKind.SPILL;
            if (kind == NoteKind.PROGRESS && value > 0) {
                job.run.foretold = (now - job.run.sentAt) / value;
                if (outlives(now, job.run)) { looks.add(now, job); }
            }
        }
    }

    @Override public void attemptEnd(double now, AttemptEnd end) {
        Job job = jobs.get(end.id());
        Attempt a = job == null ? null : job.ends.remove(end.attempt());
        if (a == null) { return; }
        dirty = true;
        learn(now, a, end);
        release(now, a);
        boolean full = end.outcome() == Outcome.TURNED_AWAY; // whose cores may look idle
        if (!full) { report(now, a.node, end.report(), slow(a, now - a.sentAt)); }
        if (!end.outcome().neverRan() && job.firstRan == null) { job.firstRan = a; }
        if (job.run == a) { job.run = null; }
        if (end.ended()) {
            close(job);
        } else if (!job.closed && job.run == null) {
            again(now, job, a, end.outcome());
        }
        Outcome o = end.outcome();
        boolean unsure = o != Outcome.OK && !o.neverRan(); // an error is also told of what is not known
        if (unsure) { keyLines.rest(job, now + settings.guarantees().orderSettle() + RETRY_S); }
        forget(job);
    }

    @Override public void abandoned(double now, RequestId id) {
        Job job = jobs.get(id);
        if (job != null && !job.closed) {
            end(job);
        }
    }

    @Override public void timer(double now, long token) {
        if (now >= wakeAt - TICK_S) { wakeAt = Double.POSITIVE_INFINITY; }
    }

    @Override public void probeDone(double now, EngineId engine, Outcome outcome, double took,
            float[] report) {
        Node n = nodes.get(engine);
        if (n == null) { return; }
        n.probing = false;
        dirty = true;
        if (outcome == Outcome.OK) {
            report(now, n, report, false);
        } else if (outcome == Outcome.UNREACHABLE) { // nobody is there, or it can take no one
            eject(now, n, "dead");
        } else if (outcome == Outcome.TIMEOUT) { // full or hung, which a word would not have told better
            heard(now, n, BOUND * n.cores);
        }
    }

    @Override public void peerMessage(double now, int from, byte[] payload) {
        if (from < 0 || from >= settings.gateways() || from == settings.ordinal()) { return; }
        peers.put(from, now, PeerMessage.read(payload, nodes));
        dirty = true;
    }

    @Override public void settle(double now) {
        start(now);
        if (now >= nextSubscribe) {
            nextSubscribe = Double.POSITIVE_INFINITY;
            actions.subscribe();
        }
        if (now >= nextCutoffs) {
            nextCutoffs = now + CUTOFF_S;
            setCutoffs(now);
            taken.countAfter(now - settings.guarantees().budgetWindow());
            keyLines.forgetIdle(now);
        }
        for (Job job = looks.poll(now); job != null; job = looks.poll(now)) { look(now, job); }
        if (dirty) {
            dirty = false;
            pump(now);
        }
        tell(now);
        wake(now);
    }

    private void start(double now) {
        if (Double.isNaN(startedAt)) {
            startedAt = rateAt = now;
            nextTell = now + TELL_S * random.nextDouble();
            if (settings.mustAsk()) { actions.subscribe(); }
        }
    }

    /** One timer, for what is due next; none while nothing is in hand. */
    private void wake(double now) {
        double due = Math.max(now + TICK_S, Math.min(looks.next(), nextSubscribe));
        due = peersTell() ? Math.min(due, Math.max(now + TICK_S, nextTell)) : due;
        if (due < wakeAt - TICK_S) {
            wakeAt = due;
            actions.timer(due - now, 0);
        }
    }

    /** What may be due for a request: its end, its cut, another try to find room. */
    private void look(double now, Job job) {
        double last = job.r.notAfter() - ANSWER_LEAD_S;
        Attempt a = job.run;
        if (job.streaming) { return; }
        if (now >= last || job.ends.isEmpty() && hopeless(now, job)) { // rule 1
            finish(now, job);
            return;
        }
        if (a == null || a.cancelled) {
            if (job.ends.isEmpty()) {
                job.rank = rank(now, job);
                drawFew(job, job.restart ? FRONT_FEW : BACK_FEW);
                dirty = true;
            }
            looks.add(Math.min(last, now + (a == null ? pause(now - job.takenAt) : LOOK_S)), job);
            return;
        }
        judgeSilence(now, a);
        if (!a.overlong && now - a.sentAt > a.expected * SAMPLE_CAP) { // it must not shut out all that comes
            crowd(now, a, 0);
            a.overlong = true;
            a.node.overlong += job.c.threads();
        }
        boolean due = a.first && !job.c.serialByKey() && outlives(now, a) || hangs(a); // no line is held up
        if (due && settings.limits().cancel() && restartFits(now, a)) {
            cancel(a);
            job.restart = true;
        }
        double cutAt = a.first && !due ? a.sentAt + cutAfter(job) : now + LOOK_S;
        double next = Math.max(now + pause(now - a.sentAt), Math.min(cutAt, now + LOOK_S));
        looks.add(Math.min(last, next), job);
    }

    private static double pause(double waited) {
        return Math.max(RETRY_S, Math.min(LOOK_S, RETRY_PART * waited));
    }

    // ---- tiers ----

    /** Last quarter by sorted id, at least one, is the back tier: the same split at every gateway. */
    private void splitTiers() {
        List<Node> listed = nodes.values().stream().filter(n -> n.entry != null).toList();
        int backs = Math.max(1, (int) Math.round(listed.size() * BACK_PART));
        front.clear();
        back.clear();
        homesOf.clear();
        backCores = 0;
        allCores = 0;
        for (int i = 0; i < listed.size(); i++) {
            Node n = listed.get(i);
            n.back = i >= listed.size() - backs;
            if (rule3Listed(n)) {
                (n.back ? back : front).add(n);
                backCores += n.back ? n.cores : 0;
                allCores += n.cores;
            }
        }
    }

    /** The few engines that a query may go to now: ranking all would cost time and herd all gateways. */
    private void drawFew(Job job, int backs) {
        job.few.clear();
        homes(job).stream().filter(n -> rule6Allowed(job, n)).forEach(job.few::add);
        draw(job, front, FRONT_FEW - job.few.size());
        draw(job, back, FRONT_FEW + backs - job.few.size());
    }

    /**
     * Where all gateways alike read a table group first, so that a few engines keep it warm; none where a
     * class loads: what is loaded anew does not stay warm, and reads would gather where loads hold the group.
     */
    private List<Node> homes(Job job) {
        return anyLoads ? List.of() : homesOf.of(job.r.tableGroup(), front, FRONT_HOMES, back, 1);
    }

    private void draw(Job job, List<Node> tier, int count) {
        int most = job.few.size() + count;
        for (int i = 0; i < tier.size() && job.few.size() < most; i++) {
            Collections.swap(tier, i, i + random.nextInt(tier.size() - i));
            Node n = tier.get(i);
            if (rule6Allowed(job, n) && !job.few.contains(n)) { job.few.add(n); }
        }
    }

    // ---- admission ----

    private void hold(double now, Job job) {
        job.rank = rank(now, job);
        drawFew(job, job.restart ? FRONT_FEW : BACK_FEW);
        askFew(now, job);
        held.add(job);
        looks.add(Math.min(job.r.notAfter() - ANSWER_LEAD_S, now + RETRY_S), job);
        dirty = true;
    }

    /** Worth for each second of work, more for a class that fares badly, little once it is late. */
    private double rank(double now, Job job) {
        double worth = job.c.worth() * (job.over ? settings.overShareWorth() : 1);
        if (now + expected(job) > aimAt(job)) { worth *= job.c.lateWorth(); }
        double density = worth / (expected(job) * job.c.threads());
        double part = (job.view.started + FAIR_FEW) / (job.view.asked + FAIR_FEW);
        return density / Math.pow(part, FAIR) * (job.restart ? 4 : 1);
    }

    private void pump(double now) {
        openThreads = warmCores = 0;
        for (Node n : nodes.values()) {
            openThreads += rule3Listed(n) && !n.ejected ? n.threads - n.overlong : 0; // who takes work
            warmCores += rule3Listed(n) ? n.cores * warmth(now, n) : 0;
        }
        if (held.isEmpty()) { return; }
        held.sort(Comparator.<Job>comparingDouble(j -> -j.rank).thenComparingLong(j -> j.seq));
        int misses = 0;
        int kept = 0;
        for (int i = 0; i < held.size(); i++) {
            Job job = held.get(i);
            // Who waits for his turn says nothing of the engines' room: a long line of one key, ranked high,
            // is not to end the pass for all that stand behind it.
            boolean ready = rule5Turn(now, job) && !waitsForWord(now, job);
            Node n = ready && misses < MISSES ? choose(now, job) : null;
            if (n == null) {
                misses += ready ? 1 : 0;
                held.set(kept++, job);
            } else { send(now, job, n); }
        }
        held.subList(kept, held.size()).clear();
        while (held.size() > HELD_LEAST && jobs.size() > mostTaken) {
            finish(now, held.get(held.size() - 1));
        }
    }

    /** True once no answer worth having can come of holding the request longer. */
    private boolean hopeless(double now, Job job) {
        if (nobody || now + expected(job) * 0.5 > job.r.notAfter() - ANSWER_LEAD_S) { return true; }
        boolean late = now + expected(job) > aimAt(job);
        return late && (job.over || job.c.lateWorth() < LATE_MIN
                || now - job.takenAt > LATE_HOLD * (job.r.notAfter() - job.takenAt));
    }

    /** In-share by a bucket for each customer, filled at its quota times this gateway's part of traffic. */
    private boolean overShare(double now, Request r) {
        double dt = now - rateAt;
        rateAt = now;
        double gain = 1 / Math.min(RATE_S, 2 + now - startedAt);
        rate += gain * (1 - dt * rate);
        if (r.tenant() < 0 || r.tenant() >= shares.size()) { return false; }
        double fill = settings.tenants().get(r.tenant()).quotaPerS() * ownPart() * SHARE_SLACK;
        double burst = fill * BURST_S; // and twice its deviation: few queries come unevenly by chance
        return !shares.get(r.tenant()).take(now, fill, 1 + burst + 2 * Math.sqrt(burst));
    }

    /** Our part of all gateways' traffic: our rate against what all customers may send. */
    private double ownPart() {
        double even = 1.0 / settings.gateways();
        return totalQuota > 0 ? Math.max(even / 4, Math.min(1, rate / totalQuota)) : even;
    }

    // ---- pick ----

    /** First tries go front unless the back has more spare cores, or alone has room; restarts go back. */
    private Node choose(double now, Job job) {
        if (!shareFits(job)) { return null; }
        boolean jam = crowding.factor(0) > CROWDED * crowding.factor(1); // in front alone
        boolean seen = settings.gateways() == 1 || peersTell() || jam; // else unheard ones look idle to all
        double[] least = {Double.POSITIVE_INFINITY, Double.POSITIVE_INFINITY};
        double[] bestCost = {Double.POSITIVE_INFINITY, Double.POSITIVE_INFINITY};
        Node[] best = new Node[2];
        for (Node n : job.few) {
            int tier = n.back ? 1 : 0;
            if (usable(now, job, n)) {
                double load = load(now, n);
                boolean known = tier == 0 || job.restart || seen || cold(now, n) || now - n.wordAt < WORD_S;
                least[tier] = known ? Math.min(least[tier], load * crowding.factor(tier)) : least[tier];
                double cost = cost(job, n, load) + random.nextDouble() * NEAR;
                if (cost < bestCost[tier] && hasRoom(now, job, n, job.restart)) {
                    bestCost[tier] = cost;
                    best[tier] = n;
                }
            }
        }
        int to = (job.restart ? least[1] < Double.POSITIVE_INFINITY : least[1] < least[0]) ? 1 : 0;
        boolean stay = best[to] != null || job.restart || to == 0 && crowding.factor(1) > CROWDED;
        return best[stay ? to : 1 - to];
    }

    private double load(double now, Node n) {
        return (n.threads + others(now, n)) / n.cores * Math.exp(relativeSlow(n));
    }

    private double cost(Job job, Node n, double load) {
        int rank = homes(job).indexOf(n);
        double home = rank < 0 ? 0 : n.back ? HOME_BONUS : HOME_BONUS * (1 - (double) rank / FRONT_HOMES);
        double cost = load - home;
        cost += loadHome(job, n);
        boolean heldUp = (job.c.waits() || job.c.load()) && n.loads.containsKey(job.r.tableGroup());
        return cost + (heldUp ? HELD_PENALTY : 0) + (n == job.avoid ? 1 : 0);
    }

    /**
     * Loads of a group gather where all gateways alike put them, by hash, and what would stand still behind
     * a load keeps away from there: nobody tells which groups the loads of others hold.
     */
    private double loadHome(Job job, Node n) {
        if (!anyLoads || !job.c.load() && !job.c.waits()) { return 0; }
        int rank = homesOf.of(job.r.tableGroup(), front, LOAD_HOMES, back, 0).indexOf(n);
        double part = rank < 0 ? 0 : LOAD_HOME * (1 - (double) rank / LOAD_HOMES);
        return job.c.load() ? -part : part;
    }

    /**
     * Others' threads on an engine: what peers tell or, fading with its age, the last word. Of one that has
     * told nothing since its start, others know no more: they have there what we have, or all leave it idle.
     */
    private double others(double now, Node n) {
        if (peersTell()) { return n.peerThreads; }
        double usual = usualOthers * n.cores * warmth(now, n);
        if (n.wordAt < n.coldFrom) { usual = Math.min(usual, n.threads * (1 / ownPart() - 1)); }
        double trust = Math.exp((n.wordAt - now) / WORD_S);
        return trust * n.others + (1 - trust) * usual;
    }

    private void heard(double now, Node n, double others) {
        double trust = 0.5 * Math.exp((n.wordAt - now) / WORD_S);
        n.others = trust * n.others + (1 - trust) * Math.max(0, others);
        n.wordAt = now;
        usualOthers += WORD_GAIN * (n.others / n.cores - usualOthers);
    }

    /** Rules 2, 3, 4 and 6 and health: may this request be sent there at all? */
    private boolean usable(double now, Job job, Node n) {
        return maySend(now, job, n) && (!n.ejected
                || n.out == 0 && now >= n.trialAt + (job.c.effect() == Effect.REPEATABLE ? 0 : TRIAL_MAX_S));
    }

    /**
     * Our threads out stay within our part of what all engines bear, looser while these are little loaded,
     * tighter past the bound. Busy shares fall as engines thrash, where crowding tells: more threads do less
     * work together. A query fits by chance where our part is less than one.
     */
    private boolean shareFits(Job job) {
        double crowd = (1 - ownPart()) * Math.pow(crowding.factor() / CROWDED, 2); // by others, unseen
        double strain = Math.max(STRAIN_MIN, Math.max(usualOthers / BOUND, Math.min(crowd, STRAIN_MOST)));
        double open = job.restart ? RESTART_ROOM : job.over ? OVER_PART : 1;
        double part = ownPart() * (1 + PART_SURE * ownPart()) * open;
        double limit = part * warmCores * BOUND / (strain * strain);
        return peersTell() || openThreads + job.c.threads() * job.dice <= limit;
    }

    private boolean hasRoom(double now, Job job, Node n, boolean restart) {
        double bound = BOUND * n.cores * Math.exp(-relativeSlow(n)) * warmth(now, n);
        double half = job.c.threads() * 0.5;
        double others = others(now, n);
        bound *= restart ? RESTART_ROOM : 1;
        boolean threadsFit = n.threads + others + half <= bound;
        double othersMb = peersTell() ? n.peerMb : others * mix.mbPerThread();
        boolean memoryFits = n.memoryMb <= 0 || n.out == 0
                || n.mb + othersMb + grant(job) <= n.memoryMb * MEMORY_FILL;
        return threadsFit && memoryFits;
    }

    private double warmth(double now, Node n) {
        return coldBudget.warmth(now - n.coldFrom);
    }

    /** From the estimate or, without one, from the fair part of an engine, where spills can correct it. */
    private double grant(Job job) {
        EngineRules e = settings.engines();
        Node any = job.few.get(0);
        boolean learns = e.grantsHeeded() && (e.notePeriod() > 0 || e.saysCost());
        double fair = learns ? any.memoryMb * job.c.threads() / (BOUND * any.cores) : 0;
        double base = job.r.needMb() > 0 ? job.r.needMb() : fair;
        double most = any.memoryMb > 0 ? any.memoryMb * e.maxGrantShare() : Double.MAX_VALUE;
        return Math.min(base * Math.exp(job.view.logGrant), most);
    }

    /** Grants follow the part of the estimate that most queries need: told costs and notes of spills tell. */
    private void learnGrant(Attempt a, double trueMb) {
        boolean told = settings.engines().saysCost() && trueMb > 0;
        if (a.mb > 0 && (told || settings.engines().notePeriod() > 0)) {
            boolean tooLittle = told ? trueMb > a.mb : a.spilled;
            a.job.view.logGrant += GRANT_STEP * (tooLittle ? GRANT_QUANTILE : GRANT_QUANTILE - 1);
        }
    }

    private void send(double now, Job job, Node n) {
        double mb = grant(job);
        EngineRules e = settings.engines();
        if (e.grantsHeeded() && mb > 0 || e.priorityHeeded()) {
            actions.terms(job.r.id(), priority(job), e.grantsHeeded() ? mb : 0);
        }
        boolean selfCut = !settings.limits().cancel() && !n.back && job.c.effect() != Effect.ONCE;
        actions.send(job.r.id(), n.id, selfCut ? cutAfter(job) : 0);
        Attempt a = new Attempt(job, n);
        a.sentAt = now;
        a.mb = mb;
        a.expected = expected(job);
        if (a.index > 0) { resent.add(now); }
        job.view.started += a.index > 0 || job.over ? 0 : 1;
        job.run = a;
        job.ends.put(a.index, a);
        n.lastSign = n.out == 0 ? now : n.lastSign;
        n.take(job, mb);
        openThreads += n.ejected ? 0 : job.c.threads();
        if (n.ejected) { n.trialAt = now + n.trialGap; }
        double charge = coldBudget.charge(usualWork(job.view), now - n.coldFrom, n.cores, ownPart());
        n.coldCredit -= cold(now, n) ? charge : 0;
        looks.add(now + Math.min(LOOK_S, cutAfter(job)), job);
    }

    /** Short queries first where priorities count: the class with the nearest aim, then the rest. */
    private int priority(Job job) {
        double shortest = settings.classes().stream().mapToDouble(QueryClass::aim).min().orElse(0);
        if (job.over) { return 0; }
        return job.c.aim() <= shortest ? 3 : job.restart ? 2 : 1;
    }

    private void release(double now, Attempt a) {
        int threads = a.job.c.threads();
        mix.add(now - a.sentAt, threads, a.mb, GAIN);
        a.node.overlong -= a.overlong ? threads : 0;
        a.node.drop(a);
    }

    // ---- the rules, each in one place ----

    private boolean maySend(double now, Job job, Node n) {
        return rule1Open(now, job) && rule2Effect(now, job, n) && rule3Listed(n) && rule4Cold(now, job, n)
                && rule5Turn(now, job) && rule6Allowed(job, n) && rule7Budget(now, job);
    }

    /** Rule 1, no request is lost: nothing is sent once it is over or out of time. */
    private boolean rule1Open(double now, Job job) {
        return !job.closed && now < job.r.notAfter() - ANSWER_LEAD_S;
    }

    /** Rule 2, no effect twice; and attempts one at a time where copies are not allowed. */
    private boolean rule2Effect(double now, Job job, Node n) {
        int limit = settings.limits().tryLimit();
        if (limit > 0 && job.tries >= limit || job.run != null
                || !job.ends.isEmpty()
                && !(settings.limits().secondCopies() && job.c.effect() == Effect.REPEATABLE)) {
            return false;
        }
        return job.firstRan == null || job.c.effect() == Effect.REPEATABLE
                || job.c.effect() == Effect.BY_KEY && sameGroup(job.firstRan, n)
                && now < job.firstRan.sentAt + job.c.window() - ANSWER_LEAD_S;
    }

    private static boolean sameGroup(Attempt first, Node n) {
        return n.entry != null && switch (first.job.c.scope()) {
            case ALL -> true;
            case ZONE -> first.at.zone() == n.entry.zone();
            case CELL -> first.at.cell() == n.entry.cell();
        };
    }

    /** Rule 3, drains are kept: nothing new from the moment of being told. */
    private static boolean rule3Listed(Node n) { return n.entry != null && n.entry.stage() == Stage.READY; }

    /**
     * Rule 4, a cold engine is not pushed over: a bucket filled with our part of what it bears, from a random
     * level below nothing, so that gateways come out of step and together send what it bears in expectation.
     */
    private boolean rule4Cold(double now, Job job, Node n) {
        if (!cold(now, n)) { return true; }
        double filled = coldBudget.fill(now - n.coldFrom, n.cores) * (now - n.coldAt) * ownPart();
        n.coldCredit = Math.min(0, n.coldCredit + filled);
        n.coldAt = now;
        return n.coldCredit >= 0;
    }

    private void startCold(Node n, double at) {
        n.coldFrom = Math.max(n.coldFrom, at);
        n.coldAt = n.coldFrom;
        double most = Arrays.stream(classes)
                .mapToDouble(v -> coldBudget.charge(usualWork(v), 0, n.cores, ownPart())).max().orElse(0);
        n.coldCredit = -most * random.nextDouble() * (1 - ownPart());
    }

    private boolean cold(double now, Node n) { return now < n.coldFrom + settings.guarantees().warmWithin(); }

    /** Rule 5, order by key: only the first of its line, and after the key's rest. */
    private boolean rule5Turn(double now, Job job) { return keyLines.hasTurn(now, job); }

    /** Rule 6, placement. */
    private static boolean rule6Allowed(Job job, Node n) {
        return n.entry != null && (job.c.zones().isEmpty() || job.c.zones().contains(n.entry.zone()))
                && (job.c.kinds().isEmpty() || job.c.kinds().contains(n.entry.kind()));
    }

    /** Rule 7, further attempts within the budget. */
    private boolean rule7Budget(double now, Job job) {
        Guarantees g = settings.guarantees();
        if (job.tries == 0 || g.budgetWindow() <= 0) { return true; }
        return resent.countAfter(now - g.budgetWindow() - TICK_S) + 1 <= g.budgetFree()
                + g.budgetShare() * taken.countAfter(now - g.budgetWindow() + TICK_S);
    }

    // ---- ends ----

    /** After an attempt without an answer: wait for another where the rules and the time allow one. */
    private void again(double now, Job job, Attempt a, Outcome outcome) {
        job.avoid = a.node;
        job.restart |= a.first && outcome == Outcome.TIMEOUT; // cut by time-out: nothing may be cancelled
        boolean time = now + expected(job) * 0.5 < job.r.notAfter() - ANSWER_LEAD_S;
        boolean allowed = rule7Budget(now, job) && nodes.values().stream()
                .anyMatch(n -> rule3Listed(n) && rule6Allowed(job, n) && rule2Effect(now, job, n));
        if (time && outcome != Outcome.MOOT && allowed && job.errors < QUERY_ERRORS) {
            hold(now, job);
        } else {
            finish(now, job);
        }
    }

    /** The final answer: a refusal where it is true that trying again is harmless, else a failure. */
    private void finish(double now, Job job) {
        boolean mayHaveRun = job.firstRan != null || !job.ends.isEmpty();
        boolean harmless = !mayHaveRun || job.c.effect() == Effect.REPEATABLE
                || job.c.effect() == Effect.BY_KEY && job.c.scope() == KeyScope.ALL;
        if (harmless) {
            Limits l = settings.limits();
            actions.refuse(job.r.id(), l.retryAfter() ? l.maxRetryAfter() : 0);
        } else {
            actions.fail(job.r.id());
        }
        end(job);
    }

    private void end(Job job) {
        if (job.run != null && settings.limits().cancel()) { cancel(job.run); }
        close(job);
        forget(job);
    }

    private void cancel(Attempt a) {
        a.cancelled = true;
        actions.cancel(a.job.r.id(), a.index);
    }

    private void close(Job job) {
        job.closed = true;
        held.remove(job);
    }

    private void forget(Job job) {
        if (job.closed && job.ends.isEmpty()) {
            jobs.remove(job.r.id());
            keyLines.leave(job);
            dirty = true;
        }
    }

    // ---- learning ----

    private void learn(double now, Attempt a, AttemptEnd end) {
        ClassView v = a.job.view;
        Node n = a.node;
        double took = Math.max(now - a.sentAt, 1e-4);
        boolean ok = end.outcome() == Outcome.OK;
        boolean cut = a.cancelled || end.outcome() == Outcome.TIMEOUT;
        if (ok) {
            sign(now, n);
            n.answeredAt = now;
            learnGrant(a, end.trueMb());
            double usual = Math.min(took, a.expected * SAMPLE_CAP); // one bad plan of few is no tail
            v.tryTook = mean(v.tryTook, usual);
            if (a.job.restart) { v.restartTook = mean(v.restartTook, usual); }
            double pace = Math.log(took / unit(a.job));
            v.logPace = mean(v.logPace, Double.isNaN(v.logPace) ? pace
                    : Math.min(pace, v.logPace + Math.log(SAMPLE_CAP)));
            readmit(n, "readmitted");
        }
        if (!end.outcome().neverRan() && !n.ejected) { crowd(now, a, ok ? a.job.r.cost() : 0); }
        if (ok || cut && took > a.expected) {
            n.slow += GAIN * (Math.log(Math.min(SAMPLE_CAP, took / a.expected)) - n.slow);
            middleSlow += GAIN * Math.signum(n.slow - middleSlow) * GAIN; // a running median of engines
            if (a.first || ok) {
                double told = Math.max(took, ok ? 0 : Math.min(a.foretold, cutAfter(a.job)));
                double size = told / stretch(a.job) / floor(a.job.c);
                v.tail.add(size, !ok);
                shape.add(size, !ok);
            }
        }
        n.faults = ok ? 0 : n.faults;
        n.breaks = ok ? 0 : n.breaks;
        if (end.outcome() == Outcome.UNREACHABLE || end.outcome() == Outcome.RESET) {
            n.breaks++; // single connections break at engines that answer others all the while
            if (now - n.answeredAt > ALIVE_S || n.breaks >= BREAKS) {
                if (end.outcome() == Outcome.UNREACHABLE) { startCold(n, now); }
                eject(now, n, "dead");
            }
        }
        if (end.outcome() == Outcome.ERROR) { blame(now, a.job, n); }
        if (end.outcome() == Outcome.TURNED_AWAY) { heard(now, n, BOUND * n.cores); }
    }

    /**
     * An error counts against its engine until the same query fails at another one, too: then the query is
     * at fault, and no engine is to be left out for what some clients send.
     */
    private void blame(double now, Job job, Node n) {
        job.errors++;
        if (job.guilty) { return; }
        job.guilty = job.blamed != null && job.blamed != n;
        if (!job.guilty) {
            job.blamed = n;
            n.faults++;
            if (n.faults >= FAULTS) { eject(now, n, "failing"); } // errors come fast: it would look idle
        } else if (job.blamed.faults > 0) {
            job.blamed.faults--;
            if (job.blamed.faults < FAULTS && job.blamed.failing) { readmit(job.blamed, "cleared"); }
        }
    }

    /** Of one that runs on and on, only the time until that was seen counts. */
    private void crowd(double now, Attempt a, double work) {
        double spent = a.overlong ? 0 : (now - a.sentAt) * a.job.c.threads();
        if (a.job.r.cost() > 0) { crowding.add(now, a.node.back ? 1 : 0, spent, work); }
    }

    private static void sign(double now, Node n) {
        n.lastSign = now;
        n.silent.clear();
    }

    /**
     * What others have there: from queries in hand, else from what is scarcest: cores, disks, memory. Past
     * its knee an engine thrashes, and its cores tell the less the more it has: where an answer was slowed,
     * or cores are full, others are taken to have as much out as we have on the mean engine.
     */
    private void report(double now, Node n, float[] report, boolean slowed) {
        double seen = Double.NaN;
        List<LoadField> fields = settings.loadFields();
        boolean hands = fields.contains(LoadField.IN_HAND);
        for (int i = 0; i < Math.min(report.length, fields.size()); i++) {
            double told = switch (fields.get(i)) {
                case IN_HAND -> (report[i] - n.out) * mix.threadsEach();
                case BUSY -> hands ? Double.NaN : busyOthers(n, report[i], slowed);
                case MEMORY_GRANTED, DISKS_BUSY -> hands ? Double.NaN
                        : report[i] * BOUND * n.cores - n.threads;
                default -> Double.NaN;
            };
            seen = Double.isNaN(told) ? seen : Double.isNaN(seen) ? told : Math.max(seen, told);
        }
        if (!Double.isNaN(seen)) { heard(now, n, seen); }
    }

    private double busyOthers(Node n, double busy, boolean slowed) {
        double seen = busy * n.cores - n.threads;
        return slowed || busy >= FULL_BUSY ? Math.max(seen, alike() * n.cores) : seen;
    }

    /** In a fleet that is much slowed, an answer that is too: one slow answer of a quick fleet is chance. */
    private boolean slow(Attempt a, double took) {
        return crowding.factor() > CROWDED && a.job.r.cost() > 0 && took > CROWDED * unit(a.job);
    }

    /** Threads a core that others have out if each has as much as we do for its part of the traffic. */
    private double alike() { return (1 / ownPart() - 1) * openThreads / Math.max(1, allCores); }

    private static double mean(double old, double sample) {
        return Double.isNaN(old) ? sample : old + GAIN * (sample - old);
    }

    /** The time a query would take alone by its estimate; 1 where there is none. */
    private static double unit(Job job) { return job.r.cost() > 0 ? job.r.cost() / job.c.threads() : 1; }

    private double expected(Job job) {
        if (Double.isNaN(job.view.logPace)) { return job.r.cost() > 0 ? unit(job) : job.c.aim() * 0.5; }
        return unit(job) * Math.exp(job.view.logPace);
    }

    /** How much longer than its class's usual query this one is, by its estimate; never less than 1. */
    private double stretch(Job job) {
        double usual = job.view.logUnit;
        return job.r.cost() > 0 && !Double.isNaN(usual) ? Math.max(1, unit(job) / Math.exp(usual)) : 1;
    }

    /** Rule 4 weighs a query by the usual work of its class, which does not rise while engines are slow. */
    private double usualWork(ClassView v) {
        double took = Double.isNaN(v.tryTook) ? v.c.aim() : v.tryTook;
        return Double.isNaN(v.work) ? took * v.c.threads() : v.work;
    }

    private double aimAt(Job job) {
        return job.takenAt + job.c.aim() + job.c.aimStretch() * expected(job) * 0.7;
    }

    /** Slowness of an engine against the middle one (log): all slow together is nobody's fault. */
    private double relativeSlow(Node n) { return Math.max(0, n.slow - middleSlow - 0.2); }

    // ---- cutoffs ----

    /** The smallest multiple of all classes' floors whose tail work fits our share of the back cores. */
    private void setCutoffs(double now) {
        peers.expire(now - PEER_OLD_S);
        usualOthers = peersTell() ? peers.threads() / Math.max(1, allCores) : usualOthers;
        double room = backCores * ownPart() * BACK_FILL;
        double age = Math.max(1, Math.min(RATE_S, now - startedAt));
        double multiple = 1;
        while (multiple < 32 && tailWork(multiple, age) > room) { multiple *= 1.2; }
        for (ClassView v : classes) {
            v.cutoff = shape.size() < MIN_SAMPLES ? v.c.deadline()
                    : Math.min(v.c.deadline(), floor(v.c) * multiple);
            v.fade(1 - CUTOFF_S / RATE_S);
        }
    }

    /** No cutoff is below the latency aim or half the deadline. */
    private static double floor(QueryClass c) { return Math.min(c.aim(), c.deadline() / 2); }

    /**
     * Back time a second: the part of each class that outlives the cutoff (cut attempts are censored) times
     * what restarts were seen to take or, before any, what any attempt takes: bad plans are drawn anew. A
     * class of few samples borrows the shape of all classes, so that bad plans are cut early there too.
     */
    private double tailWork(double multiple, double age) {
        double sum = 0;
        for (ClassView v : classes) {
            double at = Math.min(multiple, v.c.deadline() / floor(v.c));
            double trust = v.tail.size() / (v.tail.size() + SHAPE_TRUST);
            double outlive = trust * v.tail.survival(at) + (1 - trust) * shape.survival(at);
            double took = Double.isNaN(v.restartTook) ? v.tryTook : v.restartTook;
            if (v.c.effect() != Effect.ONCE && !Double.isNaN(took)) {
                sum += v.arrivals / age * v.c.threads() * outlive * took;
            }
        }
        return sum;
    }

    private double cutAfter(Job job) {
        return job.view.cutoff * stretch(job) * Math.max(1, crowding.factor() / CROWDED_USUAL);
    }

    /** Past its cutoff, or foretold by its progress to pass it; never if it is nearly done. */
    private boolean outlives(double now, Attempt a) {
        double age = now - a.sentAt;
        boolean nearlyDone = a.foretold > 0 && a.foretold - age < expected(a.job);
        return !nearlyDone && Math.max(age, a.foretold * FORETOLD_TRUST) >= cutAfter(a.job);
    }

    private boolean restartFits(double now, Attempt a) {
        Job job = a.job;
        int limit = settings.limits().tryLimit();
        Attempt first = job.firstRan == null ? a : job.firstRan;
        boolean keyed = job.c.effect() == Effect.BY_KEY;
        boolean spent = limit > 0 && job.tries >= limit || !rule7Budget(now, job);
        boolean tooLate = now + expected(job) > job.r.notAfter() - ANSWER_LEAD_S
                || keyed && now > first.sentAt + job.c.window() - RETRY_S * 2;
        if (job.c.effect() == Effect.ONCE || spent || tooLate) { return false; }
        drawFew(job, FRONT_FEW);
        return job.few.stream().anyMatch(n -> n != a.node && (n.back || hangs(a))
                && (!keyed || sameGroup(first, n)) && rule3Listed(n) && !n.ejected
                && rule4Cold(now, job, n) && hasRoom(now, job, n, true));
    }

    // ---- health ----

    /** Two attempts that wait long without any sign of their engine: it hangs. */
    private void judgeSilence(double now, Attempt a) {
        Node n = a.node;
        double pace = Math.exp(Math.max(0, middleSlow));
        double patience = Math.max(SILENT_S, a.expected * SILENT_TIMES * pace);
        if (now - Math.max(a.sentAt, n.lastSign) > patience) {
            n.silent.add(a);
            if (n.silent.size() >= 2 && !n.ejected) {
                n.silentFrom = now;
                eject(now, n, "silent");
            }
        }
    }

    /** Sent before its engine fell silent? A trial sent since is left to run: it is to tell. */
    private static boolean hangs(Attempt a) { return a.node.ejected && a.sentAt <= a.node.silentFrom; }

    /** Takes an engine out until a trial; at most a part of all, whatever the reason: else all are bad. */
    private void eject(double now, Node n, String why) {
        n.trialGap = n.ejected ? Math.min(TRIAL_MAX_S, n.trialGap * 2) : TRIAL_S;
        n.trialAt = now + n.trialGap;
        if (!n.ejected && ejectedNow + 1 <= Math.max(1, (front.size() + back.size()) * EJECT_PART)) {
            actions.log("ejected engine " + n.id.value() + ": " + why);
            n.ejected = true;
            n.failing = why.equals("failing");
            ejectedNow++;
        }
    }

    private void readmit(Node n, String why) {
        if (n.ejected) {
            n.ejected = false;
            n.failing = false;
            n.silentFrom = Double.NEGATIVE_INFINITY;
            ejectedNow--;
            actions.log(why + " engine " + n.id.value());
        }
    }

    // ---- words of other gateways' work ----

    /** Asks those of the few engines that it has no fresh word of; the query waits a moment for them. */
    private void askFew(double now, Job job) {
        if (!settings.limits().probes() || peersTell()) { return; }
        List<Node> stale = new ArrayList<>(job.few);
        stale.removeIf(n -> n.probing || now - n.wordAt < FRESH_S || n.ejected && now < n.trialAt);
        for (Node n : stale.subList(0, Math.min(stale.size(), (int) probeCredit))) {
            probeCredit--;
            n.probing = true;
            actions.probe(n.id);
            job.waitUntil = now + PROBE_WAIT_S;
            looks.add(job.waitUntil, job);
        }
    }

    private boolean waitsForWord(double now, Job job) {
        return now < job.waitUntil && job.few.stream().anyMatch(n -> n.probing);
    }

    /** Whether all gateways can tell each other often enough at the price that a request bears. */
    private boolean peersTell() {
        return settings.limits().peerMessages() && settings.gateways() > 1 && tellGap() <= PEER_OLD_S;
    }

    private double tellGap() {
        double full = Math.min(1, (front.size() + back.size()) / (double) PeerMessage.MOST_ENGINES);
        return Math.max(TELL_S, (settings.gateways() - 1) * full / (TELL_PER_REQUEST * Math.max(rate, 1e-3)));
    }

    private void tell(double now) {
        if (!peersTell() || now < nextTell) { return; }
        nextTell = now + tellGap();
        List<Node> busy = new ArrayList<>(nodes.values());
        busy.removeIf(n -> n.out == 0);
        busy.sort(Comparator.comparingDouble(n -> -n.threads));
        actions.tellPeers(PeerMessage.write(busy));
    }
}
