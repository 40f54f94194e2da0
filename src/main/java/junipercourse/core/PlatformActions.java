package junipercourse.core;

import junipercourse.decision.DispatchApi;
import junipercourse.decision.DispatchApi.EngineId;
import junipercourse.decision.DispatchApi.RequestId;

/** What this platform does not have: the settings forbid these, so the module asks for none. */
abstract class PlatformActions implements DispatchApi.Actions {
    @Override
    public void terms(RequestId id, int priority, double memoryMb) {
        // Engines here set memory themselves and heed no priority.
    }

    @Override
    public void probe(EngineId engine) {
        throw new UnsupportedOperationException("engines may not be probed");
    }

    @Override
    public void tellPeers(byte[] payload) {
        throw new UnsupportedOperationException("dispatchers cannot reach each other");
    }

    @Override
    public void subscribe() {
        // The event bus pushes to every dispatcher that connects; there is nothing to ask for.
    }
}
