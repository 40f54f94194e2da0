package junipercourse.fleet.view;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import junipercourse.fleet.view.Word.Kind;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Asks members in turn, suspects again and again, helpers where an answer is missing; and decides by that
 * who is suspect and who unreachable. Another's verdict never counts as ours: it only shortens how long we
 * try.
 */
final class Prober {
    /** Most suspects asked at one beat. */
    private static final int SUSPECTS_A_BEAT = 8;
    /** Most questions open at once. */
    private static final int ROUNDS_MOST = 128;
    /** Most questions of others that we pass on at once. */
    private static final int RELAYS_MOST = 256;
    /** Own tries without an answer before a suspect is called unreachable; one after another's verdict. */
    private static final int FAILED_LEAST = 3;
    private static final int FAILED_HEARSAY = 1;

    private final Settings settings;
    private final Roll roll;
    private final Post post;
    private final UniformRandomProvider random;
    private final Map<Long, Round> rounds = new LinkedHashMap<>();
    private final Map<Long, Relay> relays = new LinkedHashMap<>();
    private final List<String> turn = new ArrayList<>();
    private double nextProbe;
    private double heardAny;
    private int health;

    private static final class Round {
        private final Peer peer;
        private final long incarnation;
        private double start;
        private boolean helped;

        Round(Peer peer, double start) {
            this.peer = peer;
            this.incarnation = peer.st.incarnation();
            this.start = start;
        }
    }

    private record Relay(String asker, long number, String about, double until) { }

    /** Verdicts that are to be joined and passed on. */
    interface Verdicts {
        void say(Statement statement);
    }

    Prober(Settings settings, Roll roll, Post post, UniformRandomProvider random) {
        this.settings = settings;
        this.roll = roll;
        this.post = post;
        this.random = random;
    }

    /** All begins anew: what was asked before counts for nothing, and silence is counted from now. */
    void restart(double now) {
        rounds.clear();
        relays.clear();
        heardAny = now;
        nextProbe = now + random.nextDouble() * settings.probeInterval();
        for (Peer peer : roll.peers()) {
            if (peer.st.standing() == Standing.SUSPECT) {
                suspected(peer, now);
            }
        }
    }

    /** Local health score: 0 while we hear others. */
    int health() {
        return health;
    }

    /** A peer has just become suspect, or its time begins anew. */
    void suspected(Peer peer, double now) {
        peer.failed = 0;
        peer.hearsay = false;
        peer.nextTry = now;
        peer.deadline = now + Math.min(settings.suspicionMax(), settings.suspicionMin() * (1 + health));
    }

    /** A word of this member in its present life was read. */
    void heard(Peer peer, double now) {
        heardAny = now;
        peer.lastHeard = now;
        if (peer.st.standing() == Standing.SUSPECT) {
            suspected(peer, now);
        }
    }

    /** An answer: true if it was to a question of ours, directly or by a helper. */
    boolean ack(long number, String about, double now) {
        Round round = rounds.get(number);
        if (round != null && !stale(round) && round.peer.st.name().equals(about)) {
            rounds.remove(number);
            health = Math.max(0, health - 1);
            heard(round.peer, now);
            return true;
        }
        Relay relay = relays.get(number);
        if (relay != null && relay.about.equals(about)) {
            relays.remove(number);
            Peer asker = roll.get(relay.asker);
            Peer target = roll.get(about);
            if (asker != null && target != null) {
                post.toPeer(asker, Kind.ACK, relay.number, about, target.st);
            }
            return true;
        }
        return false;
    }

    /** Somebody wants us to ask another for him. */
    void relay(Peer asker, long number, String about, double now) {
        Peer target = roll.get(about);
        if (target == null || relays.size() >= RELAYS_MOST || about.equals(post.self().name())) {
            return;
        }
        long mine = post.number();
        relays.put(mine, new Relay(asker.st.name(), number, about, now + 10 * settings.probeTimeout()));
        post.toPeer(target, Kind.PING, mine, about, null);
    }

    void tick(double now, Verdicts verdicts) {
        relays.values().removeIf(relay -> now > relay.until);
        rounds(now, verdicts);
        suspects(now, verdicts);
        if (now >= nextProbe) {
            Peer next = nextInTurn();
            if (next != null) {
                ask(next, now);
            }
            nextProbe = Math.max(nextProbe + settings.probeInterval(), now);
        }
    }

    private void rounds(double now, Verdicts verdicts) {
        double timeout = settings.probeTimeout() * (1 + health);
        List<Round> silent = new ArrayList<>();
        for (Iterator<Map.Entry<Long, Round>> all = rounds.entrySet().iterator(); all.hasNext();) {
            Map.Entry<Long, Round> entry = all.next();
            Round round = entry.getValue();
            if (stale(round)) {
                all.remove();
            } else if (now - round.start >= 2 * timeout) {
                all.remove();
                silent.add(round);
            } else if (!round.helped && now - round.start >= timeout) {
                round.helped = true;
                post.toPeer(round.peer, Kind.PING, entry.getKey(), round.peer.st.name(), null);
                askHelpers(round.peer, entry.getKey());
            }
        }
        for (Round round : silent) {
            health = heardAny < round.start ? Math.min(settings.healthMost(), health + 1)
                : Math.max(0, health - 1);
            if (round.peer.st.standing() == Standing.SUSPECT) {
                round.peer.failed++;
            } else {
                verdicts.say(round.peer.st.with(Standing.SUSPECT));
            }
        }
    }

    /** The question is over: he has left, is forgotten, unreachable or in another life. */
    private boolean stale(Round round) {
        Statement st = round.peer.st;
        return !st.present() || st.incarnation() != round.incarnation || roll.get(st.name()) != round.peer;
    }

    private void suspects(double now, Verdicts verdicts) {
        double hush = now - heardAny;
        boolean lonely = hush > 4 * settings.probeTimeout() && hush < settings.lonely();
        double every = Math.min(0.4, Math.max(0.2, 0.02 * roll.size())) * settings.probeTimeout() / 0.1;
        int asked = 0;
        List<Peer> over = new ArrayList<>();
        for (Peer peer : roll.peers()) {
            if (peer.st.standing() != Standing.SUSPECT) {
                continue;
            }
            if (!lonely && peer.failed >= (peer.hearsay ? FAILED_HEARSAY : FAILED_LEAST)
                    && (peer.hearsay || now >= peer.deadline)) {
                over.add(peer);
            } else if (now >= peer.nextTry && asked < SUSPECTS_A_BEAT) {
                asked++;
                peer.nextTry = now + every;
                ask(peer, now);
            }
        }
        for (Peer peer : over) {
            verdicts.say(peer.st.with(Standing.UNREACHABLE));
        }
    }

    private void ask(Peer peer, double now) {
        long number = post.number();
        if (rounds.size() < ROUNDS_MOST) {
            rounds.put(number, new Round(peer, now));
        }
        post.toPeer(peer, Kind.PING, number, peer.st.name(), null);
    }

    private void askHelpers(Peer target, long number) {
        List<Peer> helpers = new ArrayList<>();
        for (Peer peer : roll.peers()) {
            if (peer.st.standing() == Standing.ALIVE && peer != target && !isSelf(peer)) {
                helpers.add(peer);
            }
        }
        for (int i = 0; i < settings.indirectProbes() && i < helpers.size(); i++) {
            Collections.swap(helpers, i, i + random.nextInt(helpers.size() - i));
            post.toPeer(helpers.get(i), Kind.PING_REQ, number, target.st.name(), target.st);
        }
    }

    private boolean isSelf(Peer peer) {
        return peer.st.name().equals(post.self().name());
    }

    /** Each member once, in an order drawn anew each time around. */
    private Peer nextInTurn() {
        for (int tries = 0; tries < 2; tries++) {
            while (!turn.isEmpty()) {
                Peer peer = roll.get(turn.remove(turn.size() - 1));
                if (peer != null && peer.st.present() && !isSelf(peer)) {
                    return peer;
                }
            }
            for (Peer peer : roll.peers()) {
                turn.add(peer.st.name());
            }
            for (int i = turn.size() - 1; i > 0; i--) {
                Collections.swap(turn, i, random.nextInt(i + 1));
            }
        }
        return null;
    }
}
