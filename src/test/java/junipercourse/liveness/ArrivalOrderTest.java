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

/**
 * Tests arrival intervals, read watermark and arrival order with a model of sockets that are read
 * late.
 */
class ArrivalOrderTest {
    private static final double MIN_WRITE_GAP_SECONDS = 0.06;
    private static final double MIN_GAP_SECONDS = 0.05;

    /**
     * Columns: arrival interval of a request, time at which an earlier one was read, whether the
     * request may have arrived before that one.
     */
    @ParameterizedTest
    @CsvSource({
        "10, 10.01, 10, false",
        "10, 10.01, 9.9, false",
        "10, 20, 20, true",
        "10, 20, 10.04, false",
        "10, 20, 10.06, true"
    })
    void requestReadLateMayPrecedeEarlierReadOneOnlyIfItsIntervalIsWide(
            double earliest, double readAt, double earlierReadAt, boolean mayPrecede) {
        assertEquals(
                mayPrecede,
                new ArrivalInterval(earliest, readAt)
                        .mayPrecede(ArrivalInterval.exact(earlierReadAt), MIN_GAP_SECONDS));
    }

    @ParameterizedTest
    @CsvSource({"10, 10.02, 10.02", "10, 10.1, 10.1", "10, 11, 10", "10, 20, 10"})
    void clientWaitStartsAtEarliestArrivalOfBytesReadLate(
            double earliest, double readAt, double waitStart) {
        assertEquals(waitStart, new ArrivalInterval(earliest, readAt).clientWaitStart());
        assertThrows(IllegalArgumentException.class, () -> new ArrivalInterval(readAt + 1, readAt));
    }

    @Test
    void watermarkAdvancesOnlyAfterPassThatReadProbeAndLeftNothingUnread() {
        ReadWatermark readWatermark = new ReadWatermark(1);
        readWatermark.recordProbeSent(2);
        assertFalse(readWatermark.completePass(), "the probe was not read in this pass");
        assertEquals(1, readWatermark.watermark());
        readWatermark.recordProbeRead();
        assertTrue(readWatermark.completePass());
        assertEquals(2, readWatermark.watermark());
        readWatermark.recordProbeSent(3);
        readWatermark.recordUnreadData();
        readWatermark.recordProbeRead();
        assertTrue(readWatermark.completePass());
        assertEquals(2, readWatermark.watermark(), "the pass left connections unaccepted");
        readWatermark.recordProbeSent(4);
        assertThrows(IllegalStateException.class, () -> readWatermark.recordProbeSent(5));
    }

    @Test
    void requestOfUnknownOrderIsNotAdmittedAndItsKeyIsDiscardedOnceSettled() {
        ArrivalOrder order = new ArrivalOrder(MIN_GAP_SECONDS);
        assertTrue(order.admit(7, new ArrivalInterval(0, 10)));
        assertFalse(order.admit(7, new ArrivalInterval(0, 10)));
        assertTrue(order.admit(8, new ArrivalInterval(0, 10)), "another key");
        order.discardSettledKeys(9.9);
        assertEquals(2, order.trackedKeyCount());
        order.discardSettledKeys(9.96);
        assertEquals(0, order.trackedKeyCount());
    }

    /** Ever new keys must not use memory without end, nor let an older request overtake. */
    @Test
    void keysAreForgottenOldestFirstAndOlderRequestsAreThenRejected() {
        ArrivalOrder order = new ArrivalOrder(MIN_GAP_SECONDS);
        for (int key = 0; key <= 3 * ArrivalOrder.MAX_KEYS; key++) {
            assertTrue(order.admit(key, ArrivalInterval.exact(10 + key)));
        }
        assertEquals(ArrivalOrder.MAX_KEYS, order.trackedKeyCount());
        assertFalse(order.admit(0, ArrivalInterval.exact(9)), "older than a forgotten key");
        assertFalse(order.admit(-1, ArrivalInterval.exact(9)), "whatever its key");
        assertTrue(order.admit(0, ArrivalInterval.exact(10 + 3 * ArrivalOrder.MAX_KEYS)));
    }

    private record WrittenRequest(double writtenAt, int socket, int number) {}

    private record ReadRequest(WrittenRequest request, ArrivalInterval arrival) {}

    /**
     * Requests of one key are written at least 60 ms apart to random sockets. A loop with stalls
     * reads them, in random order within each pass. Admitted requests must be in the order of
     * writing, nothing before the watermark may be unread, and a loop without stalls must reject
     * none.
     */
    @Property(seed = "12", tries = 1500)
    void admittedRequestsKeepTheOrderInWhichTheyWereWritten(
            @ForAll @LongRange(max = 1 << 30) long seed) {
        Random random = new Random(seed);
        boolean hasStalls = random.nextInt(5) > 0;
        Deque<WrittenRequest> notYetArrived = new ArrayDeque<>();
        double writtenAt = 100;
        for (int i = 0; i < 60; i++) {
            writtenAt +=
                    MIN_WRITE_GAP_SECONDS + (random.nextBoolean() ? 0 : random.nextDouble() * 0.3);
            notYetArrived.add(new WrittenRequest(writtenAt, random.nextInt(8), i));
        }
        ReadWatermark readWatermark = new ReadWatermark(99.9);
        ArrivalOrder order = new ArrivalOrder(MIN_GAP_SECONDS);
        Deque<ReadRequest> pending = new ArrayDeque<>();
        List<Integer> admitted = new ArrayList<>();
        List<WrittenRequest> unread = new ArrayList<>();
        int rejectedCount = 0;
        double now = 99.95;
        while (!notYetArrived.isEmpty() || !unread.isEmpty() || !pending.isEmpty()) {
            if (!readWatermark.isProbePending() && random.nextInt(4) > 0) {
                readWatermark.recordProbeSent(now);
            }
            // The select below sees a probe that was sent before it.
            boolean probePending = readWatermark.isProbePending();
            double selectedAt = now + random.nextDouble() * 0.01;
            double watermarkBefore = readWatermark.watermark();
            List<WrittenRequest> pass = new ArrayList<>();
            while (!notYetArrived.isEmpty() && notYetArrived.peek().writtenAt <= selectedAt) {
                unread.add(notYetArrived.poll());
            }
            pass.addAll(unread);
            unread.clear();
            Collections.shuffle(pass, random);
            if (hasStalls
                    && random.nextInt(10) == 0) { // a stall between the select and the reading
                now = selectedAt + random.nextDouble() * 3;
            } else {
                now = selectedAt + random.nextDouble() * 0.005;
            }
            for (WrittenRequest request : pass) {
                pending.add(
                        new ReadRequest(
                                request, new ArrivalInterval(Math.min(watermarkBefore, now), now)));
                assertTrue(
                        request.writtenAt >= watermarkBefore,
                        "unread before the watermark: "
                                + request
                                + " up to "
                                + watermarkBefore
                                + ", seed "
                                + seed);
            }
            if (probePending) {
                readWatermark.recordProbeRead();
            }
            readWatermark.completePass();
            if (hasStalls && random.nextInt(10) == 0) {
                now += random.nextDouble() * 3;
            }
            while (!pending.isEmpty()
                    && order.isSettled(pending.peek().arrival, readWatermark.watermark())) {
                ReadRequest readRequest = pending.poll();
                if (order.admit(1, readRequest.arrival)) {
                    admitted.add(readRequest.request.number);
                } else {
                    rejectedCount++;
                }
            }
            order.discardSettledKeys(readWatermark.watermark());
            now += 0.001;
        }
        List<Integer> sorted = new ArrayList<>(admitted);
        Collections.sort(sorted);
        assertEquals(sorted, admitted, "seed " + seed);
        assertEquals(60, admitted.size() + rejectedCount);
        assertFalse(
                admitted.isEmpty(),
                "the first request of each batch must be admitted, seed " + seed);
        if (!hasStalls) {
            assertEquals(0, rejectedCount, "seed " + seed);
        }
    }
}
