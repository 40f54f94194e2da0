package junipercourse.net;

import java.util.ArrayList;
import java.util.List;
import java.util.StringJoiner;

/**
 * The file descriptors of the process: each share has a limit, and all of them together stay below
 * the limit of the process, so that it is never reached, whatever clients, engines and the event
 * bus do at once.
 *
 * <p>A closed connection occupies its descriptor until the next selector pass. Up to the slack of a
 * share such descriptors are not counted; those beyond it are, until they are released.
 */
public final class DescriptorBudget {
    private final int limit;
    private final int reserved;
    private final List<Share> shares = new ArrayList<>();
    private int allocated;
    private int allowed;

    /**
     * @param limit the maximum number of descriptors of the process
     * @param reserved descriptors that are not allocated here: files of the JVM, selector, pipe,
     *     event bus, listening sockets
     */
    public DescriptorBudget(int limit, int reserved) {
        if (reserved >= limit) {
            throw new IllegalArgumentException(
                    "limits.sockets: "
                            + limit
                            + " leaves none beside the "
                            + reserved
                            + " reserved descriptors");
        }
        this.limit = limit;
        this.reserved = reserved;
        this.allowed = limit;
    }

    /** Descriptors that are open or closing now, including the reserved ones. */
    public int used() {
        return reserved + shares.stream().mapToInt(s -> s.openCount + s.closingCount).sum();
    }

    /** How many descriptors this process may use for now; its limit while it has no siblings. */
    public int allowed() {
        return allowed;
    }

    /**
     * Computes the claim of a process that has siblings: its own plus half of what nobody claims,
     * so that every process gets some. Claims are made one at a time, and each is published before
     * it is used: so all of them together stay within the limit.
     *
     * @param ownClaim the present claim, at least all descriptors in use
     * @param othersClaim the sum of the claims of all siblings; -1: there are none
     */
    public static int claim(int ownClaim, int othersClaim, int limit) {
        return othersClaim < 0 ? limit : ownClaim + Math.max(0, limit - ownClaim - othersClaim) / 2;
    }

    /**
     * Applies a claim that has been published. With siblings, half of its unused descriptors are
     * released.
     */
    public void applyClaim(int claimed, boolean hasSiblings) {
        allowed = hasSiblings ? used() + Math.max(0, claimed - used()) / 2 : limit;
    }

    /** Descriptors that are not allocated to a share yet. */
    public int unallocated() {
        return limit - reserved - allocated;
    }

    /** Allocates a share with a maximum of open descriptors, and of closing ones beyond that. */
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

    /** The descriptors of one user, who acquires one before opening and reports when closing. */
    public final class Share {
        private final String name;
        private final int maxOpen;
        private final int slack;
        private int openCount;
        private int closingCount;
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
                    maxOpen - openCount - Math.max(0, closingCount - slack), availableOverall());
        }

        /** Acquires a descriptor; false if none is left. */
        public boolean tryAcquire() {
            if (available() <= 0) {
                refusedCount++;
                return false;
            }
            openCount++;
            peak = Math.max(peak, openCount + closingCount);
            return true;
        }

        /**
         * Counts a descriptor that is open already, whatever the limits: the system has accepted
         * it.
         */
        public void acquireUnconditionally() {
            openCount++;
            peak = Math.max(peak, openCount + closingCount);
        }

        /** Records that a descriptor is being closed. */
        public void markClosing() {
            if (openCount <= 0) {
                throw new IllegalStateException(name + ": cannot close a descriptor, none is open");
            }
            openCount--;
            closingCount++;
            peak = Math.max(peak, openCount + closingCount);
        }

        /** Records that a closing descriptor has been released. */
        public void markClosed() {
            if (closingCount <= 0) {
                throw new IllegalStateException(
                        name + ": cannot release a descriptor, none is closing");
            }
            closingCount--;
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

        /** Closed descriptors that the system may still count. */
        public int closingCount() {
            return closingCount;
        }

        /** The maximum that was open or closing at once. */
        public int peak() {
            return peak;
        }

        /** How often a descriptor was requested and none was left. */
        public long refusedCount() {
            return refusedCount;
        }
    }
}
