package junipercourse.multiprocess;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Checks a recorded history for invariants that hold under any network and process faults. */
final class InvariantChecker {
    private static final Set<String> VALID_STATUSES =
            Set.of("alive", "suspect", "unreachable", "left");

    private InvariantChecker() {}

    /**
     * Returns all violations in a history in chronological order: an incarnation that decreases
     * within one process's view; a process that starts with an incarnation not above its
     * predecessor's; a member that has left and returns with the same incarnation; an unknown
     * status, since a status must not state more than an observer can know.
     */
    static List<String> violations(List<FleetObservation> history) {
        List<String> violations = new ArrayList<>();
        Map<String, FleetObservation.ObservedMember> lastMemberStates = new HashMap<>();
        Map<Integer, FleetObservation> lastObservations = new HashMap<>();
        for (FleetObservation observation : history) {
            observation
                    .members()
                    .forEach(
                            (name, member) -> {
                                FleetObservation.ObservedMember previous =
                                        lastMemberStates.put(
                                                observation.observer()
                                                        + "/"
                                                        + observation.startNumber()
                                                        + "/"
                                                        + name,
                                                member);
                                if (previous != null
                                        && member.incarnation() < previous.incarnation()) {
                                    violations.add(
                                            "incarnation decreased: "
                                                    + name
                                                    + " from "
                                                    + previous
                                                    + " to "
                                                    + member
                                                    + " at "
                                                    + observation);
                                }
                                if (previous != null
                                        && member.incarnation() == previous.incarnation()
                                        && previous.status().equals("left")
                                        && !member.status().equals("left")) {
                                    violations.add(
                                            "incarnation returned after it had left: "
                                                    + name
                                                    + " at "
                                                    + observation);
                                }
                                if (!VALID_STATUSES.contains(member.status())) {
                                    violations.add(
                                            "invalid status: " + member + " at " + observation);
                                }
                            });
            if (observation.self() != 0) {
                FleetObservation previous =
                        lastObservations.put(observation.observer(), observation);
                if (previous != null
                        && (previous.startNumber() == observation.startNumber()
                                ? observation.self() < previous.self()
                                : observation.self() <= previous.self())) {
                    violations.add(
                            "own incarnation not above the previous one: "
                                    + previous
                                    + ", "
                                    + observation);
                }
            }
        }
        return violations;
    }

    /**
     * Returns the observations from a time on in which one of these observers reports one of these
     * members with the status.
     */
    static List<FleetObservation> observationsWithStatus(
            List<FleetObservation> history,
            double startSeconds,
            Set<Integer> observers,
            Set<String> members,
            String status) {
        return history.stream()
                .filter(
                        observation ->
                                observation.atSeconds() >= startSeconds
                                        && observers.contains(observation.observer())
                                        && members.stream()
                                                .anyMatch(
                                                        member ->
                                                                observation.reports(
                                                                        member, status)))
                .toList();
    }
}
