package junipercourse.fleet.membership;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;

/** Round-robin order of probes: each alive member once a round, shuffled for each round. */
final class ProbeOrder {
    private static final int MAX_ROUNDS = 2; // the rest of the current round and a complete one

    private final MemberTable memberTable;
    private final UniformRandomProvider random;
    private final List<String> remaining = new ArrayList<>();

    ProbeOrder(MemberTable memberTable, UniformRandomProvider random) {
        this.memberTable = memberTable;
        this.random = random;
    }

    /** Returns the next alive member other than {@code localName}; null if there is none. */
    PeerState nextPeer(String localName) {
        for (int round = 0; round < MAX_ROUNDS; round++) {
            while (!remaining.isEmpty()) {
                PeerState peer = memberTable.find(remaining.remove(remaining.size() - 1));
                if (isAlive(peer) && !peer.record.name().equals(localName)) {
                    return peer;
                }
            }
            startRound();
        }
        return null;
    }

    private static boolean isAlive(PeerState peer) {
        return peer != null && peer.record.status() == MemberStatus.ALIVE;
    }

    private void startRound() {
        for (PeerState peer : memberTable.peers()) {
            remaining.add(peer.record.name());
        }
        for (int i = remaining.size() - 1; i > 0; i--) {
            Collections.swap(remaining, i, random.nextInt(i + 1));
        }
    }
}
