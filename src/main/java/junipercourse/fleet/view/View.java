package junipercourse.fleet.view;

import java.util.ArrayList;
import java.util.List;
import junipercourse.fleet.view.Word.Kind;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.core.source64.SplitMix64;

/**
 * One member's view of the fleet: SWIM with Lifeguard's care, as {@code docs/design/fleet-view.md} tells. Pure:
 * words and times come in, words and snapshots go out; no I/O, no clock, no threads. Times are seconds of one
 * monotonic clock. To be used by one thread.
 *
 * <p>{@link #next} says when {@link #tick} is due. A tick that comes late by more than {@link #LATE_S} is taken
 * for a stall of our own, as if {@link #stalled} had been called: it is held against nobody.
 */
public final class View {
    /** A tick that is later than this was held up, together with what we should have heard meanwhile. */
    static final double LATE_S = 0.3;
    private static final double FORGET_EVERY_S = 1;
    private static final int FAREWELLS = 8;
    private static final int FAREWELL_PEERS = 6;
    private static final int SEEDS_MOST = 32;
    private static final double ASK_DIFFERING_S = 1;
    private static final int ASK_DIFFERING = 2;

    private final Settings settings;
    private final List<String> seeds;
    private final Out out;
    private final Roll roll;
    private final Rumours rumours = new Rumours();
    private final Post post;
    private final Prober prober;
    private final Sync sync;
    private final Life life;
    private final UniformRandomProvider random;
    private Faults faults = Faults.NONE;
    private double due = Double.POSITIVE_INFINITY;
    private double at;
    private double nextReach;
    private double nextForget;
    private double nextFullLog;
    private int farewells;
    private boolean left;
    private boolean changed;
    private boolean settled;

    /** Faults put in on purpose by tests, which must see their judges find them. */
    enum Faults {
        NONE, REUSED_INCARNATION, STALL_HELD_AGAINST_OTHERS, OLD_WORDS_BELIEVED
    }

    /**
     * @param name of the process in the fleet
     * @param address where others send to; fixed for the life
     * @param seeds addresses asked at the start and while they are no members; at most 32, the own is left out
     * @param seed of all random numbers; must differ at each start, or a life may be taken for an earlier one
     * @throws IllegalArgumentException naming the key, for texts out of bounds
     */
    public View(Settings settings, String name, String address, String zone, List<String> seeds, long seed,
            Out out) {
        this.settings = settings;
        this.seeds = seeds.stream().filter(each -> !each.equals(address)).distinct().toList();
        if (this.seeds.size() > SEEDS_MOST) {
            throw new IllegalArgumentException("seeds: " + SEEDS_MOST + " are allowed, got " + this.seeds.size());
        }
        this.seeds.forEach(each -> Statement.text("seed", each, Statement.ADDRESS_MOST, 1));
        this.out = out;
        this.random = new SplitMix64(seed);
        this.roll = new Roll(settings);
        this.post = new Post(settings, roll, rumours, out);
        this.prober = new Prober(settings, roll, post, random);
        this.sync = new Sync(settings, roll, post);
        Statement none = new Statement(name, 0, 0, Standing.ALIVE, address, zone);
        this.life = new Life(settings, roll, post, none, this.seeds, random, out);
    }

    void put(Faults fault) {
        faults = fault;
        roll.oldWordsBelieved = fault == Faults.OLD_WORDS_BELIEVED;
        life.reused = fault == Faults.REUSED_INCARNATION;
    }

    /** Starts to ask for earlier lives; the own one begins when that is answered, or in time without. */
    public void start(double now) {
        if (due != Double.POSITIVE_INFINITY) {
            throw new IllegalStateException("was started");
        }
        due = now;
        life.start(now);
        tick(now);
    }

    /** When {@link #tick} is due; infinity before the start and when the farewell is over. */
    public double next() {
        return due;
    }

    /** A word was read; {@code fromAddress} is answered to only if the word tells no better address. */
    public void heard(double now, String fromAddress, Word word) {
        if (left || due == Double.POSITIVE_INFINITY) {
            return;
        }
        String name = post.self().name();
        boolean namesake = word.from().equals(name);
        for (Statement statement : word.statements()) {
            if (statement.incarnation() > 0) {
                learn(statement, now);
            }
        }
        String answer = word.statements().isEmpty() || !word.statements().get(0).name().equals(word.from())
            ? fromAddress : word.statements().get(0).address();
        if (!life.living()) {
            life.heard(word, now);
            if (word.kind() == Kind.ASK_PAGE && !namesake) {
                sync.tell(answer, word, now);
            }
        } else if (namesake) {
            if (word.kind() == Kind.PING && !answer.equals(post.self().address())) {
                life.namesake(word.statements().get(0), now);
                post.to(answer, Kind.ACK, word.number(), name, List.of(), 0, 0);
            }
        } else if (word.fromIncarnation() == 0) {
            if (word.kind() == Kind.ASK_PAGE) {
                sync.tell(answer, word, now);
            }
        } else {
            heardMember(answer, word, now);
        }
        tell(now);
    }

    private void heardMember(String answer, Word word, double now) {
        Peer peer = roll.get(word.from());
        Statement known = roll.known(word.from());
        boolean older = known != null && word.fromIncarnation() < known.incarnation();
        if (peer == null || peer.st.incarnation() != word.fromIncarnation()) {
            if (known != null && (older || peer == null)) { // an ended or forgotten life: it is told so
                post.to(answer, Kind.ACK, word.number(), known.name(), List.of(known), 0, 0);
            }
            return;
        }
        prober.heard(peer, now);
        peer.digest = word.digest();
        if (word.digest() != roll.digest()) {
            sync.differs(peer, now);
        }
        switch (word.kind()) {
            case PING -> {
                if (word.about().equals(post.self().name())) {
                    post.toPeer(peer, Kind.ACK, word.number(), word.about(), null);
                }
            }
            case ACK -> prober.ack(word.number(), word.about(), now);
            case PING_REQ -> prober.relay(peer, word.number(), word.about(), now);
            case ASK_PAGE -> sync.tell(answer, word, now);
            default -> sync.page(word, now);
        }
    }

    /** Joins a statement that was heard or concluded, and passes on what is news. */
    private void learn(Statement heard, double now) {
        if (heard.name().equals(post.self().name())) {
            if (!life.living()) {
                life.known(heard);
                changed |= roll.join(heard, now) == Roll.Joined.NEWS;
            } else if (heard.compareTo(post.self()) > 0) {
                challenged(heard, now);
            }
            return;
        }
        Statement next = heard;
        Peer peer = roll.get(heard.name());
        boolean hearsay = heard.standing() == Standing.UNREACHABLE && !heard.forgotten() && peer != null
            && peer.st.present() && peer.st.incarnation() == heard.incarnation() && heard.compareTo(peer.st) > 0;
        if (hearsay) { // that another does not hear him is to be tried by ourselves
            next = heard.with(Standing.SUSPECT);
        }
        join(next, now);
        if (hearsay) {
            peer.hearsay = true;
        }
    }

    /** Joins a statement as it is. */
    private void join(Statement next, double now) {
        Roll.Joined joined = roll.join(next, now);
        if (joined == Roll.Joined.NEWS) {
            changed = true;
            rumours.add(next, settings.passes(roll.present()));
            if (next.standing() == Standing.SUSPECT) {
                prober.suspected(roll.get(next.name()), now);
            }
        } else if (joined == Roll.Joined.OLD) {
            rumours.add(roll.known(next.name()), 1);
        } else if (joined == Roll.Joined.FULL && now >= nextFullLog) {
            nextFullLog = now + 60;
            out.log("members: " + settings.members() + " are known, no more are taken; refused " + next.member());
        }
    }

    private void challenged(Statement heard, double now) {
        boolean living = life.living();
        Statement answer = life.challenged(heard, now);
        roll.join(answer == null ? heard : answer, now);
        changed = true;
        if (answer != null) {
            rumours.add(answer, settings.passes(roll.present()));
        } else if (living) {
            rumours.clear();
            sync.restart();
        }
    }

    /** Carries out what is due. */
    public void tick(double now) {
        if (now - due > LATE_S) {
            stalled(now, now - due);
        }
        if (now < due) {
            return;
        }
        due = Math.max(due, now) + settings.beat();
        if (left) {
            farewell();
        } else if (!life.living()) {
            if (life.tick(now)) {
                Statement first = life.begin();
                roll.join(first, now);
                rumours.add(first, settings.passes(roll.present()));
                prober.restart(now);
                changed = true;
            }
        } else {
            prober.tick(now, statement -> join(statement, now));
            sync.tick(now);
            reach(now);
            askDiffering(now);
            forget(now);
        }
        tell(now);
    }

    /** Unreachable members and absent seeds are asked now and then, so that a cut that heals is noticed. */
    private void reach(double now) {
        if (now < nextReach) {
            return;
        }
        nextReach = now + settings.reachInterval() * (0.75 + random.nextDouble() / 2);
        Peer silent = roll.any(random, st -> st.standing() == Standing.UNREACHABLE);
        if (silent != null) {
            post.toPeer(silent, Kind.PING, post.number(), silent.st.name(), null);
        }
        if (seeds.isEmpty()) {
            return;
        }
        String seed = seeds.get(random.nextInt(seeds.size()));
        if (roll.any(random, st -> st.address().equals(seed)) == null) {
            post.to(seed, Kind.ASK_PAGE, post.number(), post.self().name(), List.of(), 0, 0);
        }
    }

    /** A few present members whose last word bore another digest are asked for a newer one. */
    private void askDiffering(double now) {
        int asked = 0;
        for (Peer peer : roll.peers()) {
            if (asked < ASK_DIFFERING && peer.st.standing() == Standing.ALIVE && peer.digest != roll.digest()
                    && now >= peer.nextTry && !peer.st.name().equals(post.self().name())) {
                asked++;
                peer.nextTry = now + ASK_DIFFERING_S;
                post.toPeer(peer, Kind.PING, post.number(), peer.st.name(), null);
            }
        }
    }

    private void forget(double now) {
        if (now >= nextForget) {
            nextForget = now + FORGET_EVERY_S;
            roll.due(now).forEach(statement -> join(statement, now));
        }
    }

    /**
     * A gap of our own has just ended, in which we read nothing: questions and the time of suspects begin anew.
     */
    public void stalled(double now, double seconds) {
        due = Math.max(due, now);
        if (faults != Faults.STALL_HELD_AGAINST_OTHERS) {
            prober.restart(now);
            sync.restart();
            life.stalled(now);
        }
    }

    /** Says that this life is over; goes on saying so for a few ticks, until {@link #next} is infinity. */
    public void leave(double now) {
        if (left) {
            return;
        }
        left = true;
        if (life.living()) {
            Statement self = post.self();
            post.self(self.with(self.version() + 2).with(Standing.LEFT));
            roll.join(post.self(), now);
            changed = true;
            farewell();
        } else {
            due = Double.POSITIVE_INFINITY;
        }
        tell(now);
    }

    private void farewell() {
        List<Peer> others = new ArrayList<>();
        roll.peers().forEach(others::add);
        others.removeIf(peer -> !peer.st.present());
        for (int i = 0; i < FAREWELL_PEERS && !others.isEmpty(); i++) {
            Peer peer = others.remove(random.nextInt(others.size()));
            post.toPeer(peer, Kind.PING, post.number(), peer.st.name(), null);
        }
        if (++farewells >= FAREWELLS) {
            due = Double.POSITIVE_INFINITY;
        }
    }

    /** Another process that uses our name, with a later life or none, as last heard of; null if there is none. */
    public Statement rival() {
        return life.rival(at);
    }

    private void tell(double now) {
        at = now;
        boolean agreed = life.living() && roll.agreed(post.self().name());
        if (changed || agreed != settled) {
            changed = false;
            settled = agreed;
            out.changed(snapshot());
        }
    }

    /** What is known now. */
    public Snapshot snapshot() {
        return new Snapshot(post.self().member(), roll.seen(), roll.digest(),
            life.living() && roll.agreed(post.self().name()), at);
    }
}
