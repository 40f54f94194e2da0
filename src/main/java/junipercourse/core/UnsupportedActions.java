package junipercourse.core;

import junipercourse.decision.api.DispatcherActions;
import junipercourse.decision.api.EngineId;
import junipercourse.decision.api.RequestId;

/** What this platform does not have: the settings forbid these, so the module asks for none. */
abstract class UnsupportedActions implements DispatcherActions {
    @Override
    public void setAttemptParameters(RequestId id, int priority, double memoryMb) {
        // Engines here set memory themselves and heed no priority.
    }

    @Override
    public void probeEngine(EngineId engine) {
        throw new UnsupportedOperationException("engines may not be probed");
    }

    @Override
    public void broadcastToPeers(byte[] payload) {
        throw new UnsupportedOperationException("dispatchers cannot reach each other");
    }

    @Override
    public void subscribeToEndpoints() {
        // The event bus pushes to every dispatcher that connects; there is nothing to ask for.
    }
}
