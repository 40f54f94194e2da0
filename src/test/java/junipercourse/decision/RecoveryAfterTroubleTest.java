package junipercourse.decision;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** A dispatcher must serve again once a trouble is over, whatever it has learned meanwhile. */
class RecoveryAfterTroubleTest {
    private static final int DISPATCHERS = 2;
    private static final int ENGINES = 6;
    private static final double WARM_UP_SECONDS = 10;
    private static final double QUIET_SECONDS = 20;
    private static final double MEASURED_SECONDS = 10;
    private static final double MIN_SERVED_SHARE = 0.95;

    /** Troubles that leave a wrong estimate behind. */
    private enum Trouble {
        /** Each engine rejects all attempts for 8 s, since others hold its sessions. */
        ENGINES_FULL(
                30,
                simulation -> {
                    simulation.setEnginesFull(true);
                    simulation.serve(8);
                    simulation.setEnginesFull(false);
                }),
        /** For one second engines report 130 times their cores as busy. */
        REPORT_OUT_OF_RANGE(
                2,
                simulation -> {
                    simulation.setReportOffset(130);
                    simulation.serve(1);
                    simulation.setReportOffset(0);
                }),
        /** Clients estimate the work of 100 requests as next to nothing. */
        ESTIMATES_OF_NO_WORK(30, simulation -> submitAll(simulation, 1e-10)),
        /** Clients estimate the work of 100 requests as a small part of what it is. */
        ESTIMATES_OF_LITTLE_WORK(30, simulation -> submitAll(simulation, 1e-3)),
        /** Clients estimate the work of 100 requests as more than all engines do in a day. */
        ESTIMATES_OF_ENDLESS_WORK(30, simulation -> submitAll(simulation, 1e7));

        private final double requestsPerSecond;
        private final Consumer<ServingSimulation> faults;

        Trouble(double requestsPerSecond, Consumer<ServingSimulation> faults) {
            this.requestsPerSecond = requestsPerSecond;
            this.faults = faults;
        }
    }

    private static void submitAll(ServingSimulation simulation, double estimatedWork) {
        for (int i = 0; i < 100; i++) {
            simulation.submit(estimatedWork);
        }
    }

    private static ServingSimulation startServing(int engines, double requestsPerSecond) {
        ServingSimulation simulation =
                new ServingSimulation(DISPATCHERS, engines, requestsPerSecond);
        simulation.listEngines();
        double share = simulation.serve(WARM_UP_SECONDS);
        assertTrue(share > 0.9, () -> "served before the trouble: " + share);
        return simulation;
    }

    private static void assertServesAgain(ServingSimulation simulation) {
        simulation.serve(QUIET_SECONDS);
        double share = simulation.serve(MEASURED_SECONDS);
        assertTrue(share >= MIN_SERVED_SHARE, () -> "served after the trouble: " + share);
    }

    @ParameterizedTest
    @EnumSource
    void servesAgainWhenTheTroubleHasEnded(Trouble trouble) {
        ServingSimulation simulation = startServing(ENGINES, trouble.requestsPerSecond);
        trouble.faults.accept(simulation);
        assertServesAgain(simulation);
    }

    @Test
    void servesWhenARequestHasComeBeforeTheFirstEndpointList() {
        ServingSimulation simulation = new ServingSimulation(DISPATCHERS, ENGINES, 30);
        simulation.submit(ServingSimulation.WORK_SECONDS);
        simulation.listEngines();
        assertServesAgain(simulation);
    }

    @ParameterizedTest
    @ValueSource(doubles = {5, 10, 20, 30})
    void servesAgainWhenItsOnlyEngineIsNoLongerSlow(double requestsPerSecond) {
        ServingSimulation simulation = startServing(1, requestsPerSecond);
        simulation.setSlowdown(3);
        simulation.serve(10);
        simulation.pause(10); // the last answers are slow as well
        simulation.setSlowdown(1);
        assertServesAgain(simulation);
    }

    /** Guards against a back tier that stays closed to first attempts though it is the only one. */
    @ParameterizedTest
    @ValueSource(doubles = {5, 10, 20, 30})
    void servesAgainWhenTheFrontTierIsDrainedAndTheBackTierNoLongerSlow(double requestsPerSecond) {
        ServingSimulation simulation = startServing(4, requestsPerSecond);
        simulation.drainEngines(3);
        simulation.setSlowdown(3);
        simulation.serve(10);
        simulation.pause(10); // the last answers are slow as well
        simulation.setSlowdown(1);
        assertServesAgain(simulation);
    }

    @Test
    void servesWithoutAnyTrouble() {
        assertServesAgain(startServing(ENGINES, 30));
    }
}
