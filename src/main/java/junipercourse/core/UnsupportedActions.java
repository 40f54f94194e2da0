package junipercourse.core;

import junipercourse.decision.api.DispatcherActions;
import junipercourse.decision.api.EngineId;
import junipercourse.decision.api.RequestId;

/**
 * Actions of the decision module that are not supported here. The settings disable them, so the
 * module requests none.
 */
abstract class UnsupportedActions implements DispatcherActions {
    @Override
    public void setAttemptParameters(RequestId id, int priority, double memoryGrantMb) {
        // Engines here choose their memory themselves and ignore priorities.
    }

    @Override
    public void probeEngine(EngineId engine) {
        throw new UnsupportedOperationException("probing engines is not supported");
    }

    @Override
    public void broadcastToPeers(byte[] payload) {
        throw new UnsupportedOperationException(
                "broadcasting to other dispatchers is not supported");
    }

    @Override
    public void subscribeToEndpoints() {
        // The event bus pushes to every dispatcher that connects; no subscription is needed.
    }
}
