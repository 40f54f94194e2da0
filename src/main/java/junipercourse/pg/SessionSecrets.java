package junipercourse.pg;

import java.util.SplittableRandom;

/**
 * The secrets in the keys of sessions. No other process has the same ones, whatever its
 * configuration: a cancel request for a session of the process that had this address before, or of
 * one beside it, must not find a session here.
 */
final class SessionSecrets {
    private final SplittableRandom random;

    SessionSecrets() {
        long process = ProcessHandle.current().pid() << Integer.SIZE;
        random = new SplittableRandom(System.currentTimeMillis() ^ process ^ System.nanoTime());
    }

    int next() {
        return random.nextInt();
    }
}
