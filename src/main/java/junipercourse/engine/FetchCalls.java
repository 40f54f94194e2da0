package junipercourse.engine;

import junipercourse.liveness.AttemptEvidence;
import junipercourse.net.Deadlines;
import junipercourse.net.Loop;

/** The calls of one attempt, one after the other, each with the time it has for its answer. */
final class FetchCalls {
    /** The engine answers each call within a quarter of a second; one this late is lost. */
    static final double ANSWER_S = 0.6;

    private final Loop loop;
    private final EnginePool pool;
    private final AttemptEvidence evidence;
    private EngineCall call;
    private Step onCall;
    private Deadlines.Entry timer;

    FetchCalls(Loop loop, EnginePool pool, AttemptEvidence evidence) {
        this.loop = loop;
        this.pool = pool;
        this.evidence = evidence;
    }

    void run(byte[] request, Step step, boolean fresh, boolean starts) {
        EngineCall mine = new EngineCall(request, step);
        call = mine;
        onCall = step;
        loop.cancel(timer);
        timer = loop.after(ANSWER_S, () -> {
            drop(mine, step);
            step.failed();
        });
        pool.call(call, fresh, starts);
    }

    /** Does something later instead of waiting for an answer. */
    void later(double delay, Runnable task) {
        loop.cancel(timer);
        timer = loop.after(delay, task);
    }

    /** Waits for nothing any more; the last call, if there was one, hears no more of its answer. */
    void ignore() {
        loop.cancel(timer);
        if (call != null) {
            call.ignore();
        }
    }

    /** Resets the last call's connection after that delay, unless the call was answered by then. */
    void dropAfter(double delay) {
        EngineCall dropped = call;
        Step step = onCall;
        if (delay > 0) {
            loop.after(delay, () -> drop(dropped, step));
        } else {
            drop(dropped, step);
        }
    }

    /** Whether a call was ever made. */
    boolean began() {
        return call != null;
    }

    /** The attempt is over: a call that is still unanswered would hold its connection for good. */
    void end() {
        loop.cancel(timer);
        if (call != null) {
            call.drop();
        }
    }

    /** Resets the call's connection; the call is over once that has surely reached the kernel. */
    private void drop(EngineCall dropped, Step step) {
        dropped.drop();
        loop.afterNextPass(step::over);
    }

    /** What all calls have in common. */
    abstract static class Step implements EngineCall.Listener {
        private final FetchCalls calls;
        private boolean onTheWay;

        Step(FetchCalls calls) {
            this.calls = calls;
        }

        @Override
        public boolean mayWrite() {
            onTheWay = true;
            calls.evidence.writing(calls.loop.now(), calls.loop.attended());
            return true;
        }

        /** Nothing more of it arrives. May be said twice. */
        final void over() {
            if (onTheWay) {
                onTheWay = false;
                calls.evidence.over(calls.loop.now());
            }
        }

        @Override
        public final void answered(HttpResponse response) {
            over();
            told(response);
        }

        @Override
        public final void broken() {
            over();
            failed();
        }

        /** The engine has answered. */
        abstract void told(HttpResponse response);

        /** The call brought nothing readable, and brings nothing more. */
        abstract void failed();

        /** No room for a connection: like one that broke. */
        @Override
        public void takenBack() {
            failed();
        }
    }
}
