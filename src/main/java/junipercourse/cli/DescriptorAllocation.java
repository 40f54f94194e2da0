package junipercourse.cli;

/**
 * Divides a process's descriptors, without its reserved ones, between clients and engines: half
 * each. Where the limit is so small that the third of it which clients may open exceeds their half,
 * clients get that third; otherwise a CancelRequest would stay unaccepted behind idle clients.
 * Engines keep at least a quarter.
 *
 * @param engines maximum of open connections to engines
 * @param closing maximum of closed connections to engines that still hold a descriptor and are not
 *     waited for
 * @param clients maximum of client connections, including those before their first query
 */
record DescriptorAllocation(int engines, int closing, int clients) {
    /** Of the engines' connections, one in so many may be closing, up to a maximum. */
    private static final int CLOSING_DIVISOR = 4;

    private static final int MAX_CLOSING = 8;

    /** Clients open at most one in so many of all descriptors (PROTOCOL). */
    private static final int CLIENT_DIVISOR = 3;

    /** Engines get at least one in so many of the available descriptors. */
    private static final int MIN_ENGINE_DIVISOR = 4;

    /**
     * Divides the descriptors.
     *
     * @param limit what the process may hold
     * @param available the limit without the reserved descriptors
     */
    static DescriptorAllocation allocate(int limit, int available) {
        int clientMinimum =
                limit / CLIENT_DIVISOR
                        + 1; // a connection closed by its client may not have been read yet
        int clients =
                Math.max(
                        available - available / 2,
                        Math.min(clientMinimum, available - available / MIN_ENGINE_DIVISOR));
        int engineTotal = available - clients;
        int closing = Math.min(MAX_CLOSING, engineTotal / CLOSING_DIVISOR);
        return new DescriptorAllocation(engineTotal - closing, closing, clients);
    }
}
