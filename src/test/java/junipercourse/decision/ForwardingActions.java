package junipercourse.decision;

import junipercourse.decision.api.DispatcherActions;
import junipercourse.decision.api.EngineId;
import junipercourse.decision.api.RequestId;

/** Forwards all actions of a module but the start of attempts. */
abstract class ForwardingActions implements DispatcherActions {
    private final DispatcherActions delegate;

    ForwardingActions(DispatcherActions delegate) {
        this.delegate = delegate;
    }

    @Override
    public void cancelAttempt(RequestId id, int attempt) {
        delegate.cancelAttempt(id, attempt);
    }

    @Override
    public void reject(RequestId id, double retryAfter) {
        delegate.reject(id, retryAfter);
    }

    @Override
    public void fail(RequestId id) {
        delegate.fail(id);
    }

    @Override
    public void setAttemptParameters(RequestId id, int priority, double memoryMb) {
        delegate.setAttemptParameters(id, priority, memoryMb);
    }

    @Override
    public void scheduleTimer(double delay, long token) {
        delegate.scheduleTimer(delay, token);
    }

    @Override
    public void probeEngine(EngineId engine) {
        delegate.probeEngine(engine);
    }

    @Override
    public void broadcastToPeers(byte[] payload) {
        delegate.broadcastToPeers(payload);
    }

    @Override
    public void subscribeToEndpoints() {
        delegate.subscribeToEndpoints();
    }

    @Override
    public void log(String line) {
        delegate.log(line);
    }
}
