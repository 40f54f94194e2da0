package junipercourse.decision.load;

import java.util.Map;
import java.util.TreeMap;
import junipercourse.decision.state.EngineState;

/**
 * Holds the last load report of each peer and adds it to the external load of the engines. The
 * number of dispatchers bounds its size.
 */
final class PeerLoadTable {
    private final Map<Integer, PeerReport> reports = new TreeMap<>();

    private record PeerReport(double receivedAt, Map<EngineState, PeerLoad> loads) {}

    /** Replaces the load report of a peer. */
    void put(int peer, double now, Map<EngineState, PeerLoad> loads) {
        PeerReport latest = new PeerReport(now, loads);
        PeerReport previous = reports.put(peer, latest);
        if (previous != null) {
            addToEngines(previous, -1);
        }
        addToEngines(latest, 1);
    }

    /** Removes the load reports received before a time. */
    void expire(double receivedBefore) {
        reports.values().stream()
                .filter(report -> report.receivedAt < receivedBefore)
                .forEach(report -> addToEngines(report, -1));
        reports.values().removeIf(report -> report.receivedAt < receivedBefore);
    }

    /** Returns the total threads in flight of all peers. */
    double totalThreads() {
        return reports.values().stream()
                .flatMap(report -> report.loads.values().stream())
                .mapToDouble(PeerLoad::threads)
                .sum();
    }

    private static void addToEngines(PeerReport report, int sign) {
        report.loads.forEach(
                (engine, load) ->
                        engine.externalLoad()
                                .addPeerLoad(sign * load.threads(), sign * load.memoryMb()));
    }
}
