package junipercourse.sim;

import junipercourse.decision.api.AttemptOutcome;
import junipercourse.decision.api.EngineStage;

/**
 * Codes of the simulator's wire protocol and their meanings. {@link WireReader} reads the fields,
 * {@link WireWriter} writes them.
 */
final class Wire {
    static final int FIRED = 256;
    static final int FIRST_BYTE = 257;
    static final int CRASH_NOW = 258;
    static final int INGRESS = 259;
    static final int PROBE_DONE = 260;
    static final int ATTEMPT_END = 261;
    static final int PEER_DATA = 262;
    static final int LEDGER = 263;
    static final int ROSTER_CHANGE = 264;
    static final int NOTICE = 265;
    static final int TARGET_INSTANCE = 266;
    static final int ABANDONED = 267;
    static final int CREATE = 268;
    private static final int MEMORY_STEP_MB = 4;
    private static final int COST_MULTIPLIER = 4096;

    private Wire() {}

    /** Thrown for invalid input. The message names the problem and its position. */
    static final class WireException extends RuntimeException {
        private static final long serialVersionUID = 1L;

        WireException(String message) {
            super(message);
        }
    }

    static double costSeconds(long note) {
        return (note / COST_MULTIPLIER) / 1000.0;
    }

    static double memoryMb(long note) {
        return (note % COST_MULTIPLIER) * MEMORY_STEP_MB;
    }

    static EngineStage stage(int code) {
        return switch (code) {
            case 0 -> EngineStage.GONE;
            case 1 -> EngineStage.READY;
            case 2 -> EngineStage.DRAINING;
            default -> throw new WireException("unknown stage_state " + code);
        };
    }

    static AttemptOutcome outcome(int code) {
        return switch (code) {
            case 100 -> AttemptOutcome.OK;
            case 301 -> AttemptOutcome.ERROR;
            case 302 -> AttemptOutcome.REJECTED;
            case 303 -> AttemptOutcome.TIMEOUT;
            case 304 -> AttemptOutcome.UNREACHABLE;
            case 305 -> AttemptOutcome.RESET;
            case 306 -> AttemptOutcome.CANCELLED;
            case 307 -> AttemptOutcome.OBSOLETE;
            default -> throw new WireException("unknown disposition " + code);
        };
    }
}
