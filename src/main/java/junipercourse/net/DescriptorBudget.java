package junipercourse.net;

import java.util.ArrayList;
import java.util.List;
import java.util.StringJoiner;

/**
 * The descriptors of the process: each share of them has its bound, and all bounds together stay
 * below the limit, so that the limit is never met, whatever clients, engines and the event bus do
 * at once.
 *
 * <p>A connection that is closed holds its descriptor until the selector has looked at its sockets
 * once more. Up to a share's slack such ones are not counted; those beyond it are, until they are
 * gone.
 */
public final class DescriptorBudget {
    private final int limit;
    private final int reserved;
    private final List<Share> shares = new ArrayList<>();
    private int allocated;
    private int allowed;

    /**
     * @param limit what the process may hold
     * @param own what is not given out here: files of the JVM, selector, pipe, event bus, listening
     *     sockets
     */
    public DescriptorBudget(int limit, int reserved) {
        if (reserved >= limit) {
            throw new IllegalArgumentException(
                    "limits.sockets: "
                            + limit
                            + " leaves nothing beside "
                            + reserved
                            + " of our own");
        }
        this.limit = limit;
        this.reserved = reserved;
        this.allowed = limit;
    }

    /** What is open or closing now, with all that is our own. */
    public int used() {
        return reserved + shares.stream().mapToInt(s -> s.openCount + s.markClosing).sum();
    }

    /** What this process may hold for now; its limit while it is alone. */
    public int allowed() {
        return allowed;
    }

    /**
     * What a process may claim beside another: half of what neither claims, so that both get some.
     * Claims are made one at a time, and each is told before it is used: so all together stay below
     * the limit.
     *
     * @param held what it claims by now, at least all that it holds
     * @param others what all others claim; -1: there are none
     */
    public static int claim(int ownClaim, int othersClaim, int limit) {
        return othersClaim < 0 ? limit : ownClaim + Math.max(0, limit - ownClaim - othersClaim) / 2;
    }

    /**
     * Takes a claim on that has been told. Beside others, half of what is not used of it is given
     * back.
     */
    public void applyClaim(int claimed, boolean hasSiblings) {
        allowed = hasSiblings ? used() + Math.max(0, claimed - used()) / 2 : limit;
    }

    /** What is not promised to any share yet. */
    public int unallocated() {
        return limit - reserved - allocated;
    }

    /** Promises a part: so many open at most, and so many more that are closing. */
    public Share allocateShare(String name, int maxOpen, int slack) {
        if (maxOpen < 1 || slack < 0 || maxOpen + slack > unallocated()) {
            throw new IllegalArgumentException(
                    "limits.sockets: "
                            + maxOpen
                            + " and "
                            + slack
                            + " for "
                            + name
                            + ", but "
                            + unallocated()
                            + " are left");
        }
        allocated += maxOpen + slack;
        Share share = new Share(name, maxOpen, slack);
        shares.add(share);
        return share;
    }

    public List<Share> shares() {
        return List.copyOf(shares);
    }

    /** The peak of each share, in one line. */
    @Override
    public String toString() {
        StringJoiner peaks = new StringJoiner(" ");
        shares.forEach(s -> peaks.add("most_" + s.name + "=" + s.peak + "/" + s.maxOpen));
        return peaks.toString();
    }

    public int limit() {
        return limit;
    }

    public int reserved() {
        return reserved;
    }

    private int availableOverall() {
        return allowed == limit ? Integer.MAX_VALUE : allowed - used();
    }

    /** One part, with one user, who takes before he opens and says when he closes. */
    public final class Share {
        private final String name;
        private final int maxOpen;
        private final int slack;
        private int openCount;
        private int markClosing;
        private int peak;
        private long refusedCount;

        private Share(String name, int maxOpen, int slack) {
            this.name = name;
            this.maxOpen = maxOpen;
            this.slack = slack;
        }

        /** How many more may be opened now. */
        public int available() {
            return Math.min(
                    maxOpen - openCount - Math.max(0, markClosing - slack), availableOverall());
        }

        /** Takes one; false if none is left. */
        public boolean tryAcquire() {
            if (available() <= 0) {
                refusedCount++;
                return false;
            }
            openCount++;
            peak = Math.max(peak, openCount + markClosing);
            return true;
        }

        /** Counts one that is open already, whatever the bounds: the system has accepted it. */
        public void acquireUnconditionally() {
            openCount++;
            peak = Math.max(peak, openCount + markClosing);
        }

        /** One is being closed. */
        public void markClosing() {
            if (openCount <= 0) {
                throw new IllegalStateException(name + ": one is closed that was not open");
            }
            openCount--;
            markClosing++;
            peak = Math.max(peak, openCount + markClosing);
        }

        /** One that was being closed is gone. */
        public void markClosed() {
            if (markClosing <= 0) {
                throw new IllegalStateException(name + ": one is gone that was not closing");
            }
            markClosing--;
        }

        public String name() {
            return name;
        }

        public int maxOpen() {
            return maxOpen;
        }

        public int openCount() {
            return openCount;
        }

        /** Those closed whose descriptors the system may still count. */
        public int closingCount() {
            return markClosing;
        }

        /** The most that were open or closing at once. */
        public int peak() {
            return peak;
        }

        /** How often one was wanted and none was left. */
        public long refusedCount() {
            return refusedCount;
        }
    }
}
