package junipercourse.fleet.membership;

/**
 * Limits the bytes sent in any second, whatever happens in the fleet. The token bucket refills at
 * four fifths of the limit and holds one fifth for bursts, so that no second exceeds the limit.
 * Each priority leaves a share of the burst to the higher ones, and most may use only a share of
 * the rate. Under loss or in a partition, members therefore still acknowledge probes, no priority
 * starves, and convergence takes longer instead of more bytes.
 */
final class SendBudget {
    private static final double BURST_SHARE = 0.2;

    private final Bucket total;
    private final Bucket[] byPriority = new Bucket[MessagePriority.values().length];

    /** The priority of a message, highest first. */
    enum MessagePriority {
        /** Acknowledgements, which show peers that we are alive, and leaves. */
        ANSWER(0, 0.6),
        /**
         * Regular probes, probes of unreachable members, and requests and responses of a joining
         * member.
         */
        PROBE(0.05, 1),
        /** Updates that are piggybacked on other messages. */
        DISSEMINATION(0.1, 1),
        /** Probes of suspects, and indirect probes with their requests and acknowledgements. */
        SUSPECT_PROBE(0.15, 0.4),
        /** Anti-entropy, and probes of members whose digest differs. */
        ANTI_ENTROPY(0.35, 0.25);

        /** The share of the burst that it leaves to higher priorities. */
        private final double reservedShare;

        /** The share of the rate that it may use. */
        private final double rateShare;

        MessagePriority(double reservedShare, double rateShare) {
            this.reservedShare = reservedShare;
            this.rateShare = rateShare;
        }
    }

    /** A token bucket of bytes. */
    private static final class Bucket {
        private final double bytesPerSecond;
        private final double capacity;
        private double tokens;
        private double refilledAt = Double.NEGATIVE_INFINITY;

        Bucket(double bytesPerSecond, double capacity) {
            this.bytesPerSecond = bytesPerSecond;
            this.capacity = capacity;
        }

        double tokens(double now) {
            tokens = Math.min(capacity, tokens + Math.max(0, now - refilledAt) * bytesPerSecond);
            refilledAt = Math.max(refilledAt, now);
            return tokens;
        }
    }

    /** Creates a budget; {@code bytesPerSecond} includes network headers. */
    SendBudget(int bytesPerSecond) {
        double burst = BURST_SHARE * bytesPerSecond;
        total = new Bucket(bytesPerSecond - burst, burst);
        for (MessagePriority priority : MessagePriority.values()) {
            byPriority[priority.ordinal()] =
                    new Bucket(priority.rateShare * total.bytesPerSecond, burst);
        }
    }

    /** Returns the bytes that a priority may send now; 0 or negative if none. */
    int available(MessagePriority priority, double now) {
        return (int)
                Math.min(
                        total.tokens(now) - priority.reservedShare * total.capacity,
                        byPriority[priority.ordinal()].tokens(now));
    }

    /**
     * Consumes the bytes of a message if it may be sent now. {@code disseminationBytes} are those
     * of piggybacked updates, which do not count against the priority's own share.
     */
    boolean tryTake(MessagePriority priority, int size, int disseminationBytes, double now) {
        if (size + disseminationBytes > total.tokens(now) || size > available(priority, now)) {
            return false;
        }
        total.tokens -= size + disseminationBytes;
        byPriority[priority.ordinal()].tokens -= size;
        return true;
    }
}
