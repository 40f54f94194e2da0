package junipercourse.fleet.view;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;
import net.openhft.hashing.LongHashFunction;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * The members known, each with its greatest statement, and forgotten ones as a floor against old words. Only
 * grows in the order of statements; bounded by {@link Settings#members} and {@link Settings#tombs}.
 */
final class Roll {
    private static final int TEXTS = Statement.NAME_MOST + Statement.ADDRESS_MOST + Statement.ZONE_MOST;
    private static final LongHashFunction HASH = LongHashFunction.xx3();

    private final Settings settings;
    private final TreeMap<String, Peer> peers = new TreeMap<>();
    private final Map<String, Statement> tombs = new LinkedHashMap<>();
    private long digest;
    private boolean digestOld = true;
    private int present;
    /** Put in by tests alone. */
    boolean oldWordsBelieved;

    /** What became of a statement. */
    enum Joined {
        /** We know a greater one. */
        OLD,
        /** We know it. */
        SAME,
        /** It is the greatest now. */
        NEWS,
        /** There is no place for another member. */
        FULL
    }

    Roll(Settings settings) {
        this.settings = settings;
    }

    Peer get(String name) {
        return peers.get(name);
    }

    /** All members, sorted by name. */
    Iterable<Peer> peers() {
        return peers.values();
    }

    int size() {
        return peers.size();
    }

    /** Members that are not unreachable and have not left. */
    int present() {
        if (digestOld) {
            digest();
        }
        return present;
    }

    /** One of the members that fit, drawn at random; null if none does. */
    Peer any(UniformRandomProvider random, Predicate<Statement> fits) {
        Peer drawn = null;
        int count = 0;
        for (Peer peer : peers.values()) {
            if (fits.test(peer.st) && random.nextInt(++count) == 0) {
                drawn = peer;
            }
        }
        return drawn;
    }

    /** Whether the last word of every present member but {@code self} bore our digest. */
    boolean agreed(String self) {
        long ours = digest();
        for (Peer peer : peers.values()) {
            if (peer.st.present() && peer.digest != ours && !peer.st.name().equals(self)) {
                return false;
            }
        }
        return true;
    }

    /** All members as a snapshot shows them. */
    List<Snapshot.Seen> seen() {
        List<Snapshot.Seen> seen = new ArrayList<>(peers.size());
        for (Peer peer : peers.values()) {
            seen.add(new Snapshot.Seen(peer.st, peer.since, peer.lastHeard));
        }
        return seen;
    }

    /** The greatest statement about a name, also of a forgotten life; null if none is known. */
    Statement known(String name) {
        Peer peer = peers.get(name);
        return peer != null ? peer.st : tombs.get(name);
    }

    /** Takes a statement if it is greater than what is known of the name. */
    Joined join(Statement next, double now) {
        Statement known = known(next.name());
        int order = known == null ? 1 : next.compareTo(known);
        if (order <= 0 && !(oldWordsBelieved && order < 0)) {
            return order < 0 ? Joined.OLD : Joined.SAME;
        }
        Peer peer = peers.get(next.name());
        if (next.forgotten() || peer == null && next.standing() == Standing.LEFT) {
            bury(next);
            return Joined.NEWS;
        }
        if (peer == null && peers.size() >= settings.members() && !makeRoom()) {
            return Joined.FULL;
        }
        digestOld |= peer == null || !sameInDigest(peer.st, next);
        if (peer == null) {
            tombs.remove(next.name());
            peers.put(next.name(), new Peer(next, now));
        } else {
            peer.set(next, now);
        }
        return Joined.NEWS;
    }

    private static boolean sameInDigest(Statement one, Statement other) {
        return one.incarnation() == other.incarnation() && one.present() == other.present()
            && one.standing() == Standing.LEFT == (other.standing() == Standing.LEFT)
            && one.address().equals(other.address()) && one.zone().equals(other.zone());
    }

    private void bury(Statement last) {
        digestOld |= peers.remove(last.name()) != null;
        tombs.remove(last.name());
        tombs.put(last.name(), last);
        if (tombs.size() > settings.tombs()) {
            Iterator<String> oldest = tombs.keySet().iterator();
            oldest.next();
            oldest.remove();
        }
    }

    private boolean makeRoom() {
        for (Peer peer : peers.values()) {
            if (peer.st.standing() == Standing.LEFT) {
                bury(peer.st);
                return true;
            }
        }
        return false;
    }

    /** The lives whose time is over, as statements that they are forgotten; to be joined and passed on. */
    List<Statement> due(double now) {
        List<Statement> due = new ArrayList<>();
        for (Peer peer : peers.values()) {
            double after = peer.st.standing() == Standing.LEFT ? settings.forgetLeft()
                : peer.st.standing() == Standing.UNREACHABLE ? settings.forgetUnreachable()
                : Double.MAX_VALUE;
            if (now - peer.since > after) {
                due.add(peer.st.with(peer.st.version() | 1));
            }
        }
        return due;
    }

    /** Hash over what must agree between members; never 0. */
    long digest() {
        if (digestOld) {
            ByteBuffer bytes = ByteBuffer.allocate(peers.size() * (TEXTS + 12));
            present = 0;
            for (Peer peer : peers.values()) {
                Statement st = peer.st;
                present += st.present() ? 1 : 0;
                if (st.standing() != Standing.LEFT) {
                    bytes.putLong(st.incarnation()).put((byte) (st.present() ? 1 : 0));
                    text(bytes, st.name());
                    text(bytes, st.address());
                    text(bytes, st.zone());
                }
            }
            long hash = HASH.hashBytes(bytes.array(), 0, bytes.position());
            digest = hash == 0 ? 1 : hash;
            digestOld = false;
        }
        return digest;
    }

    private static void text(ByteBuffer bytes, String text) {
        bytes.put((byte) text.length()).put(text.getBytes(StandardCharsets.US_ASCII));
    }
}
