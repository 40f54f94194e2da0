package junipercourse.fleet.membership;

import java.util.List;

/**
 * An immutable view of the membership at one time.
 *
 * @param self the local member; incarnation 0 while it has none (it is starting, or another process
 *     uses the name)
 * @param members all known members, the local one included, sorted by name; no tombstones
 * @param digest a hash over name, incarnation, address, zone and reachability of all members but
 *     those that have left; never 0
 * @param converged whether every present member last sent this digest
 * @param takenAt time of the snapshot by the protocol's clock
 */
public record MembershipSnapshot(
        MemberId self, List<MemberView> members, long digest, boolean converged, double takenAt) {
    /**
     * One member.
     *
     * @param record its record
     * @param statusSince time at which its status last changed
     * @param lastHeardAt time of the last message from it or acknowledgement by an indirect probe;
     *     negative infinity if there was none
     */
    public record MemberView(MemberRecord record, double statusSince, double lastHeardAt) {}

    /** Copies the list of members. */
    public MembershipSnapshot {
        members = List.copyOf(members);
    }
}
