package junipercourse.fleet.membership;

import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.core.source64.SplitMix64;

/**
 * The membership protocol of one member: SWIM with Lifeguard's local health, as described in {@code
 * docs/design/fleet-view.md}. Pure: messages and times come in, messages and snapshots go out; no
 * I/O, no clock, no threads. Times are seconds of one monotonic clock. Must be used by one thread.
 *
 * <p>{@link #nextTickAt} states when {@link #tick} is due. A tick that is late by more than {@link
 * #STALL_SECONDS} is taken for a stall of our own, as if {@link #handleStall} had been called: no
 * silence of that time counts against other members.
 */
public final class MembershipProtocol {
    /** Seconds of delay from which a tick counts as stalled. */
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
    private InjectedFault faults = InjectedFault.NONE;
    private double nextTickAt = Double.POSITIVE_INFINITY;
    private double lastEventAt;
    private double nextExpiryAt;
    private boolean left;
    private boolean converged;

    /**
     * Creates a member that has not started.
     *
     * @param name the member's name in the fleet
     * @param address {@code host:port} for messages; fixed for the incarnation
     * @param zone the zone in which it runs; may be empty
     * @param seeds addresses that are contacted at the start and while they are no members; at most
     *     32; the own address is ignored
     * @param seed seeds all random numbers; must differ at each start, or an incarnation may be
     *     mistaken for an earlier one
     * @param listener carries out what the protocol decides
     * @throws IllegalArgumentException if a text is out of bounds; its message names the key
     */
    public MembershipProtocol(
            MembershipSettings settings,
            String name,
            String address,
            String zone,
            List<String> seeds,
            long seed,
            MembershipListener listener) {
        this.settings = settings;
        List<String> otherSeeds = otherSeeds(seeds, address);
        this.listener = listener;
        UniformRandomProvider random = new SplitMix64(seed);
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
                seeds.stream().filter(each -> !each.equals(address)).distinct().toList();
        if (others.size() > MAX_SEEDS) {
            throw new IllegalArgumentException(
                    "seeds: " + MAX_SEEDS + " are allowed, got " + others.size());
        }
        others.forEach(
                each -> MemberRecord.checkText("seed", each, MemberRecord.MAX_ADDRESS_LENGTH, 1));
        return others;
    }

    /** Injects a fault; for tests only. */
    void inject(InjectedFault fault) {
        faults = fault;
        memberTable.acceptStaleRecords = fault == InjectedFault.STALE_RECORDS_ACCEPTED;
        localIncarnation.reuseIncarnation = fault == InjectedFault.REUSED_INCARNATION;
    }

    /**
     * Starts to look for earlier incarnations of the name; the own one begins once that is answered
     * or has timed out.
     */
    public void start(double now) {
        if (nextTickAt != Double.POSITIVE_INFINITY) {
            throw new IllegalStateException("was started");
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

    /** Takes in a message; {@code fromAddress} is for replies if it states no other. */
    public void handleMessage(double now, String fromAddress, GossipMessage message) {
        if (left || nextTickAt == Double.POSITIVE_INFINITY) {
            return;
        }
        sender.setTime(now);
        messageHandler.handle(now, fromAddress, message);
        publishIfChanged(now);
    }

    /** Does what is due. */
    public void tick(double now) {
        if (now - nextTickAt > STALL_SECONDS) {
            handleStall(now, now - nextTickAt);
        }
        if (now < nextTickAt) {
            return;
        }
        nextTickAt = Math.max(nextTickAt, now) + settings.tickInterval();
        sender.setTime(now);
        if (left) {
            nextTickAt = peerContact.broadcastLeave() ? Double.POSITIVE_INFINITY : nextTickAt;
        } else if (!localIncarnation.isActive()) {
            if (localIncarnation.tick(now)) {
                recordMerger.mergeLocal(localIncarnation.begin(), now);
                failureDetector.restart(now);
            }
        } else {
            failureDetector.tick(now, record -> recordMerger.merge(record, true, now));
            peerContact.reconnect(now);
            peerContact.probeDiffering(now);
            if (now >= nextExpiryAt) {
                nextExpiryAt = now + EXPIRY_INTERVAL_SECONDS;
                memberTable
                        .expiredRecords(now)
                        .forEach(record -> recordMerger.merge(record, true, now));
            }
        }
        publishIfChanged(now);
    }

    /**
     * Notes that a stall of our own has just ended, in which nothing was read: probes and suspicion
     * timeouts start afresh.
     */
    public void handleStall(double now, double seconds) {
        nextTickAt = Math.max(nextTickAt, now);
        if (faults != InjectedFault.LOCAL_STALL_IGNORED) {
            failureDetector.restart(now);
            localIncarnation.stalled(now);
        }
    }

    /**
     * Declares that this incarnation is over, and repeats that for some ticks, until {@link
     * #nextTickAt} is infinity.
     */
    public void leave(double now) {
        if (left) {
            return;
        }
        left = true;
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

    /** Returns another process that uses our name, as last heard; null if there is none. */
    public MemberRecord conflictingMember() {
        return localIncarnation.conflictingMember(lastEventAt);
    }

    private void publishIfChanged(double now) {
        lastEventAt = now;
        boolean nowConverged = isConverged();
        if (nowConverged) {
            dissemination.dropCoveredByDigest();
        }
        if (recordMerger.takeChanged() || nowConverged != converged) {
            converged = nowConverged;
            listener.membershipChanged(snapshot());
        }
    }

    private boolean isConverged() {
        return localIncarnation.isActive()
                && memberTable.allDigestsMatch(sender.localRecord().name(), lastEventAt);
    }

    /** Returns the number of messages that the budget has held back. */
    public long messagesDroppedByBudget() {
        return sender.heldBack();
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
