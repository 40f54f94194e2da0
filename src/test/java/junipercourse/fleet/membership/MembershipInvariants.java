package junipercourse.fleet.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Knows the true state of a {@link SimulatedNetwork} and checks each snapshot of each process
 * against it.
 */
final class MembershipInvariants {
    private final SimulatedNetwork network;
    private final Map<SimulatedNetwork.Process, Map<String, MemberRecord>> recordsByProcess =
            new HashMap<>();
    private final Map<MemberId, SimulatedNetwork.Process> processByIncarnation = new HashMap<>();
    private final Map<SimulatedNetwork.Process, MemberId> currentIncarnations = new HashMap<>();
    private final Set<MemberId> leavers = new HashSet<>();

    /** Violations of safety properties. */
    final List<String> violations = new ArrayList<>();

    /** Reports of unreachable members that ran, were reachable and paused for at most 1 s. */
    final List<String> falseUnreachableReports = new ArrayList<>();

    long logLineCount;
    int snapshotCount;

    MembershipInvariants(SimulatedNetwork world) {
        this.network = world;
    }

    /** A process has started: it knows nothing and has no incarnation yet. */
    void onStarted(SimulatedNetwork.Process process) {
        recordsByProcess.put(process, new TreeMap<>());
        currentIncarnations.remove(process);
    }

    void onLeaving(SimulatedNetwork.Process process) {
        leavers.add(currentIncarnations.get(process));
    }

    void onSnapshot(SimulatedNetwork.Process process, MembershipSnapshot snapshot) {
        snapshotCount++;
        MemberId self = snapshot.self();
        if (self.incarnation() > 0 && !self.equals(currentIncarnations.get(process))) {
            if (processByIncarnation.put(self, process) != null) {
                violations.add(network.now + " " + self + " was begun twice");
            }
            currentIncarnations.put(process, self);
        }
        Map<String, MemberRecord> knownRecords = recordsByProcess.get(process);
        for (MembershipSnapshot.MemberView member : snapshot.members()) {
            MemberRecord newRecord = member.record();
            MemberRecord previousRecord = knownRecords.put(newRecord.name(), newRecord);
            if (newRecord.equals(previousRecord)) {
                continue;
            }
            if (previousRecord != null && previousRecord.incarnation() > newRecord.incarnation()) {
                violations.add(
                        network.now
                                + " "
                                + process.name
                                + " goes back from "
                                + previousRecord
                                + " to "
                                + newRecord);
            }
            if (!processByIncarnation.containsKey(newRecord.memberId())) {
                violations.add(
                        network.now
                                + " "
                                + process.name
                                + " knows an incarnation that was never begun: "
                                + newRecord);
            }
            if (newRecord.status() == MemberStatus.LEFT
                    && !leavers.contains(newRecord.memberId())) {
                violations.add(
                        network.now
                                + " "
                                + process.name
                                + " reports as left a member that never left: "
                                + newRecord);
            }
            if (newRecord.status() == MemberStatus.UNREACHABLE
                    && (previousRecord == null
                            || previousRecord.status() != MemberStatus.UNREACHABLE)) {
                recordUnreachable(process, newRecord);
            }
        }
    }

    private void recordUnreachable(
            SimulatedNetwork.Process observer, MemberRecord unreachableRecord) {
        SimulatedNetwork.Process subject = processByIncarnation.get(unreachableRecord.memberId());
        boolean isRunning =
                subject != null
                        && subject.isRunning()
                        && unreachableRecord.memberId().equals(currentIncarnations.get(subject));
        boolean isPaused =
                isRunning && subject.isPaused() && network.now - subject.pausedAt > 1.001;
        boolean hasJustResumed =
                isRunning
                        && network.now - subject.lastResume < 1
                        && subject.lastResume - subject.lastPause > 1.001;
        if (isRunning
                && !isPaused
                && !hasJustResumed
                && network.blockedAddresses.isEmpty()
                && network.now - network.partitionChangedAt > 5
                && !leavers.contains(unreachableRecord.memberId())) {
            falseUnreachableReports.add(
                    network.now + " " + observer.name + " reports " + unreachableRecord);
        }
    }

    /**
     * Returns null if all running processes have converged and know which processes run, otherwise
     * a description of the first difference.
     */
    String findDisagreement() {
        TreeMap<String, MemberId> running = new TreeMap<>();
        for (SimulatedNetwork.Process process : network.processes) {
            if (process.isRunning()) {
                MemberId incarnation = currentIncarnations.get(process);
                if (incarnation == null) {
                    return process.name + " has no incarnation";
                }
                running.merge(
                        process.name,
                        incarnation,
                        (a, b) -> a.incarnation() > b.incarnation() ? a : b);
            }
        }
        long digest = 0;
        for (SimulatedNetwork.Process process : network.processes) {
            if (!process.isRunning()) {
                continue;
            }
            MembershipSnapshot snapshot = process.lastSnapshot;
            if (snapshot == null || !snapshot.converged()) {
                return process.name + " has not converged";
            }
            if (digest != 0 && snapshot.digest() != digest) {
                return process.name + " has another digest";
            }
            digest = snapshot.digest();
            TreeMap<String, MemberId> present = new TreeMap<>();
            snapshot.members().stream()
                    .map(MembershipSnapshot.MemberView::record)
                    .filter(MemberRecord::isPresent)
                    .forEach(each -> present.put(each.name(), each.memberId()));
            if (!present.equals(running)) {
                return process.name + " knows " + present + " while there are " + running;
            }
        }
        return null;
    }

    /** Counts the running processes that know this incarnation and do not report it as ended. */
    int countUnaware(MemberId ended) {
        int count = 0;
        for (SimulatedNetwork.Process process : network.processes) {
            if (process.isRunning()) {
                MemberRecord known = recordsByProcess.get(process).get(ended.name());
                boolean isAware =
                        known == null
                                || known.incarnation() > ended.incarnation()
                                || known.status() == MemberStatus.UNREACHABLE
                                || known.status() == MemberStatus.LEFT;
                count += isAware ? 0 : 1;
            }
        }
        return count;
    }

    /** Returns how many incarnations have begun. */
    int incarnationCount() {
        return processByIncarnation.size();
    }

    MemberId currentIncarnation(SimulatedNetwork.Process process) {
        return currentIncarnations.get(process);
    }
}
