package junipercourse.multiprocess;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Judges a recorded history: what must hold at any time, whatever was cut, stopped or killed. */
final class InvariantChecker {
    private static final Set<String> VALID_STATUSES =
            Set.of("alive", "suspect", "unreachable", "left");

    private InvariantChecker() {}

    /**
     * All that is wrong in a history in the order of time: a name's incarnation that goes back
     * within one process's view; a process that begins with a life not above its predecessor's; one
     * that is shown to have left and comes back in the same life; a standing that says more than
     * can be known.
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
                                            "a life went back: "
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
                                            "a life that had left came back: "
                                                    + name
                                                    + " at "
                                                    + observation);
                                }
                                if (!VALID_STATUSES.contains(member.status())) {
                                    violations.add("no standing: " + member + " at " + observation);
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
                            "an own life that is not above the one before: "
                                    + previous
                                    + ", "
                                    + observation);
                }
            }
        }
        return violations;
    }

    /** Looks from a time on in which one of these observers calls one of these members so. */
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
