package junipercourse.liveness;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Arrival intervals, read watermark and arrival order, on a model of sockets read late. */
class ArrivalOrderTest {
    private static final double APART = 0.06;
    private static final double MARGIN = 0.05;

    /**
     * Interval of a request, when an earlier read one was read, and whether it may have come before
     * that.
     */
    @ParameterizedTest
    @CsvSource({
        "10, 10.01, 10, false",
        "10, 10.01, 9.9, false",
        "10, 20, 20, true",
        "10, 20, 10.04, false",
        "10, 20, 10.06, true"
    })
    void aWideIntervalLeavesTheOrderOpen(
            double after, double at, double other, boolean mayPrecede) {
        assertEquals(
                mayPrecede,
                new ArrivalInterval(after, at).mayPrecede(ArrivalInterval.exact(other), MARGIN));
    }

    @ParameterizedTest
    @CsvSource({"10, 10.02, 10.02", "10, 10.1, 10.1", "10, 11, 10", "10, 20, 10"})
    void patienceIsCountedFromTheEarliestTimeOfWhatLayLong(
            double after, double at, double counted) {
        assertEquals(counted, new ArrivalInterval(after, at).clientWaitStart());
        assertThrows(IllegalArgumentException.class, () -> new ArrivalInterval(at + 1, at));
    }

    @Test
    void onlyAPassThatReadTheMarkAndLeftNothingProvesThatAllWasRead() {
        ReadWatermark tide = new ReadWatermark(1);
        tide.recordProbeSent(2);
        assertFalse(tide.completePass(), "the mark did not come in this pass");
        assertEquals(1, tide.watermark());
        tide.recordProbeRead();
        assertTrue(tide.completePass());
        assertEquals(2, tide.watermark());
        tide.recordProbeSent(3);
        tide.recordUnreadData();
        tide.recordProbeRead();
        assertTrue(tide.completePass());
        assertEquals(2, tide.watermark(), "connections were left unaccepted");
        tide.recordProbeSent(4);
        assertThrows(IllegalStateException.class, () -> tide.recordProbeSent(5));
    }

    @Test
    void whatCannotBeOrderedIsNotAdmittedAndIsForgottenInTime() {
        ArrivalOrder order = new ArrivalOrder(MARGIN);
        assertTrue(order.admit(7, new ArrivalInterval(0, 10)));
        assertFalse(order.admit(7, new ArrivalInterval(0, 10)));
        assertTrue(order.admit(8, new ArrivalInterval(0, 10)), "another key");
        order.discardSettledKeys(9.9);
        assertEquals(2, order.trackedKeyCount());
        order.discardSettledKeys(9.96);
        assertEquals(0, order.trackedKeyCount());
    }

    private record Written(double at, int socket, int number) {}

    private record Read(Written what, ArrivalInterval arrival) {}

    /**
     * Requests of one key are written at least 60 ms apart to random sockets; a loop with stalls
     * reads them, in a random order within each pass. Whatever is admitted is admitted in the order
     * written; nothing claimed to be read was unread; and a loop without stalls refuses none.
     */
    @Property(seed = "12", tries = 1500)
    void admittedRequestsKeepTheOrderInWhichTheyWereWritten(
            @ForAll @LongRange(max = 1 << 30) long seed) {
        Random random = new Random(seed);
        boolean stalls = random.nextInt(5) > 0;
        Deque<Written> coming = new ArrayDeque<>();
        double at = 100;
        for (int i = 0; i < 60; i++) {
            at += APART + (random.nextBoolean() ? 0 : random.nextDouble() * 0.3);
            coming.add(new Written(at, random.nextInt(8), i));
        }
        ReadWatermark tide = new ReadWatermark(99.9);
        ArrivalOrder order = new ArrivalOrder(MARGIN);
        Deque<Read> unsettled = new ArrayDeque<>();
        List<Integer> admitted = new ArrayList<>();
        List<Written> unread = new ArrayList<>();
        int refused = 0;
        double now = 99.95;
        while (!coming.isEmpty() || !unread.isEmpty() || !unsettled.isEmpty()) {
            if (!tide.isProbePending() && random.nextInt(4) > 0) {
                tide.recordProbeSent(now);
            }
            boolean marked =
                    tide.isProbePending(); // the select that follows sees a mark that was sent
            // before it
            double select = now + random.nextDouble() * 0.01;
            double before = tide.watermark();
            List<Written> pass = new ArrayList<>();
            while (!coming.isEmpty() && coming.peek().at <= select) {
                unread.add(coming.poll());
            }
            pass.addAll(unread);
            unread.clear();
            Collections.shuffle(pass, random);
            if (stalls && random.nextInt(10) == 0) { // between the select and the reading
                now = select + random.nextDouble() * 3;
            } else {
                now = select + random.nextDouble() * 0.005;
            }
            for (Written w : pass) {
                unsettled.add(new Read(w, new ArrivalInterval(Math.min(before, now), now)));
                assertTrue(
                        w.at >= before, "not read: " + w + " up to " + before + ", seed " + seed);
            }
            if (marked) {
                tide.recordProbeRead();
            }
            tide.completePass();
            if (stalls && random.nextInt(10) == 0) {
                now += random.nextDouble() * 3;
            }
            while (!unsettled.isEmpty()
                    && order.isSettled(unsettled.peek().arrival, tide.watermark())) {
                Read r = unsettled.poll();
                if (order.admit(1, r.arrival)) {
                    admitted.add(r.what.number);
                } else {
                    refused++;
                }
            }
            order.discardSettledKeys(tide.watermark());
            now += 0.001;
        }
        List<Integer> sorted = new ArrayList<>(admitted);
        Collections.sort(sorted);
        assertEquals(sorted, admitted, "seed " + seed);
        assertEquals(60, admitted.size() + refused);
        assertFalse(admitted.isEmpty(), "the first of each batch goes on, seed " + seed);
        if (!stalls) {
            assertEquals(0, refused, "seed " + seed);
        }
    }
}
