package junipercourse.fleet.membership;

import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.core.source64.SplitMix64;

/**
 * The membership protocol of one member: SWIM with Lifeguard's local health, as described in {@code
 * docs/design/fleet-view.md}. Performs no I/O, reads no clock and starts no threads: callers pass
 * messages and times in, and messages and snapshots go to a listener. Times are seconds of one
 * monotonic clock. Not thread-safe.
 *
 * <p>{@link #nextTickAt} states when {@link #tick} is due. A tick that is late by more than {@link
 * #STALL_SECONDS} counts as a stall of the local process, as if {@link #handleStall} had been
 * called: silence during a stall does not count against other members.
 */
public final class MembershipProtocol {
    /** Delay of a tick beyond which the local process counts as stalled. */
    static final double STALL_SECONDS = 0.3;

    private static final double EXPIRY_INTERVAL_SECONDS = 1;
    private static final int MAX_SEEDS = 32;

    private final MembershipSettings settings;
    private final MemberTable memberTable;
    private final MessageSender sender;
    private final DisseminationQueue dissemination = new DisseminationQueue();
    private final FailureDetector failureDetector;
    private final AntiEntropy antiEntropy;
    private final LocalIncarnation localIncarnation;
    private final RecordMerger recordMerger;
    private final PeerContact peerContact;
    private final MessageHandler messageHandler;
    private final MembershipListener listener;
    private InjectedFault injectedFault = InjectedFault.NONE;
    private double nextTickAt = Double.POSITIVE_INFINITY;
    private double lastEventAt;
    private double nextExpiryAt;
    private boolean hasLeft;
    private boolean converged;

    /**
     * Creates a member that has not started.
     *
     * @param name the member's name in the fleet
     * @param address {@code host:port} for messages; fixed for the incarnation
     * @param zone the zone in which it runs; may be empty
     * @param seeds addresses to contact at the start and whenever no present member has them; at
     *     most 32; the local address is ignored
     * @param randomSeed seed of the random generator; must differ at each start, or an incarnation
     *     may be mistaken for an earlier one
     * @param listener receives messages, snapshots and log lines
     * @throws IllegalArgumentException if an argument is invalid; its message names the key
     */
    public MembershipProtocol(
            MembershipSettings settings,
            String name,
            String address,
            String zone,
            List<String> seeds,
            long randomSeed,
            MembershipListener listener) {
        this.settings = settings;
        List<String> otherSeeds = otherSeeds(seeds, address);
        this.listener = listener;
        UniformRandomProvider random = new SplitMix64(randomSeed);
        this.memberTable = new MemberTable(settings);
        this.sender = new MessageSender(settings, memberTable, dissemination, listener);
        this.failureDetector = new FailureDetector(settings, memberTable, sender, random);
        this.antiEntropy = new AntiEntropy(settings, memberTable, sender, random);
        MemberRecord recordWithoutIncarnation =
                new MemberRecord(name, 0, 0, MemberStatus.ALIVE, address, zone);
        this.localIncarnation =
                new LocalIncarnation(
                        settings,
                        memberTable,
                        sender,
                        recordWithoutIncarnation,
                        otherSeeds,
                        random,
                        listener);
        this.recordMerger =
                new RecordMerger(
                        settings,
                        memberTable,
                        dissemination,
                        sender,
                        failureDetector,
                        localIncarnation,
                        listener);
        this.peerContact = new PeerContact(settings, otherSeeds, memberTable, sender, random);
        this.messageHandler =
                new MessageHandler(
                        memberTable,
                        sender,
                        failureDetector,
                        antiEntropy,
                        localIncarnation,
                        recordMerger);
    }

    private static List<String> otherSeeds(List<String> seeds, String address) {
        List<String> others =
                seeds.stream().filter(seed -> !seed.equals(address)).distinct().toList();
        if (others.size() > MAX_SEEDS) {
            throw new IllegalArgumentException(
                    "seeds: at most " + MAX_SEEDS + " are allowed, got " + others.size());
        }
        others.forEach(
                seed -> MemberRecord.checkText("seed", seed, MemberRecord.MAX_ADDRESS_LENGTH, 1));
        return others;
    }

    /** Injects a fault; for tests only. */
    void inject(InjectedFault fault) {
        injectedFault = fault;
        memberTable.acceptStaleRecords = fault == InjectedFault.STALE_RECORDS_ACCEPTED;
        localIncarnation.reuseIncarnation = fault == InjectedFault.REUSED_INCARNATION;
    }

    /**
     * Starts the search for earlier incarnations of the name; the local incarnation begins once
     * that is answered or has timed out.
     */
    public void start(double now) {
        if (nextTickAt != Double.POSITIVE_INFINITY) {
            throw new IllegalStateException("membership protocol has already been started");
        }
        nextTickAt = now;
        sender.setTime(now);
        localIncarnation.start(now);
        tick(now);
    }

    /** Returns when {@link #tick} is due; infinity before the start and after leaving. */
    public double nextTickAt() {
        return nextTickAt;
    }

    /** Handles a message; replies go to {@code sourceAddress} unless it gives another address. */
    public void handleMessage(double now, String sourceAddress, GossipMessage message) {
        if (hasLeft || nextTickAt == Double.POSITIVE_INFINITY) {
            return;
        }
        sender.setTime(now);
        messageHandler.handle(now, sourceAddress, message);
        publishIfChanged(now);
    }

    /** Performs all periodic work that is due, and detects stalls of the local process. */
    public void tick(double now) {
        if (now - nextTickAt > STALL_SECONDS) {
            handleStall(now, now - nextTickAt);
        }
        if (now < nextTickAt) {
            return;
        }
        nextTickAt = Math.max(nextTickAt, now) + settings.tickInterval();
        sender.setTime(now);
        if (hasLeft) {
            nextTickAt = peerContact.broadcastLeave() ? Double.POSITIVE_INFINITY : nextTickAt;
        } else if (!localIncarnation.isActive()) {
            if (localIncarnation.tick(now)) {
                recordMerger.mergeLocal(localIncarnation.begin(), now);
                failureDetector.restart(now);
            }
        } else {
            failureDetector.tick(now, record -> recordMerger.merge(record, true, now));
            peerContact.reconnect(now);
            peerContact.probeDifferingPeers(now);
            if (now >= nextExpiryAt) {
                nextExpiryAt = now + EXPIRY_INTERVAL_SECONDS;
                memberTable
                        .expiryTombstones(now)
                        .forEach(record -> recordMerger.merge(record, true, now));
            }
        }
        publishIfChanged(now);
    }

    /**
     * Handles the end of a stall, during which no messages were read: restarts probes and suspicion
     * timeouts.
     */
    public void handleStall(double now, double stallSeconds) {
        nextTickAt = Math.max(nextTickAt, now);
        if (injectedFault != InjectedFault.LOCAL_STALL_IGNORED) {
            failureDetector.restart(now);
            localIncarnation.handleStall(now);
        }
    }

    /**
     * Announces the end of this incarnation, and repeats that for some ticks, until {@link
     * #nextTickAt} is infinity.
     */
    public void leave(double now) {
        if (hasLeft) {
            return;
        }
        hasLeft = true;
        sender.setTime(now);
        if (localIncarnation.isActive()) {
            MemberRecord localRecord = sender.localRecord();
            sender.localRecord(localRecord.with(localRecord.version() + 2).with(MemberStatus.LEFT));
            recordMerger.mergeLocal(sender.localRecord(), now);
            nextTickAt = peerContact.broadcastLeave() ? Double.POSITIVE_INFINITY : nextTickAt;
        } else {
            nextTickAt = Double.POSITIVE_INFINITY;
        }
        publishIfChanged(now);
    }

    /** Returns the last record of another process that uses our name; null if there is none. */
    public MemberRecord conflictingMember() {
        return localIncarnation.conflictingMember(lastEventAt);
    }

    private void publishIfChanged(double now) {
        lastEventAt = now;
        boolean isConverged = isConverged();
        if (isConverged) {
            dissemination.dropCoveredByDigest();
        }
        if (recordMerger.getAndClearChanged() || isConverged != converged) {
            converged = isConverged;
            listener.membershipChanged(snapshot());
        }
    }

    private boolean isConverged() {
        return localIncarnation.isActive()
                && memberTable.allDigestsMatch(sender.localRecord().name(), lastEventAt);
    }

    /** Returns the number of messages that were dropped because they exceeded the send budget. */
    public long messagesDroppedByBudget() {
        return sender.droppedByBudget();
    }

    /** Returns the current membership. */
    public MembershipSnapshot snapshot() {
        return new MembershipSnapshot(
                sender.localRecord().memberId(),
                memberTable.snapshotMembers(),
                memberTable.digest(),
                isConverged(),
                lastEventAt);
    }
}
