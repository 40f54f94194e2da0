package junipercourse.handover;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CyclicBarrier;
import java.util.concurrent.atomic.AtomicIntegerArray;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards the ids and cancel requests that two processes share: no id is held by both. */
class SharedMemoryTest {
    private static final int RACES = 20_000;

    @TempDir private Path folder;
    private final Set<Integer> runningProcesses = new HashSet<>(Set.of(0, 1));

    private SharedQueryIds ids(int processNumber) throws IOException {
        return new SharedQueryIds(
                new SharedMemory(folder, processNumber), runningProcesses::contains);
    }

    @Test
    void idIsHeldByOneProcessUntilItIsReleased() throws IOException {
        SharedQueryIds first = ids(0);
        SharedQueryIds second = ids(1);
        assertTrue(first.acquire("a", false));
        assertFalse(second.acquire("a", false));
        assertTrue(second.acquire("b", false));
        first.release("a");
        assertTrue(second.acquire("a", false));
        assertFalse(first.acquire("a", false));
    }

    @Test
    void idOfAnEndedProcessStaysHeld() throws IOException {
        assertTrue(ids(0).acquire("a", false));
        SharedQueryIds successor = ids(0);
        assertFalse(successor.acquire("a", false));
        assertFalse(ids(1).acquire("a", false));
        assertTrue(successor.acquire("b", false));
        successor.release("a"); // has not acquired it
        assertFalse(ids(1).acquire("a", false));
    }

    @Test
    void idOfAQueryThatMayBeRepeatedIsFreeOnceItsProcessHasEnded() throws IOException {
        assertTrue(ids(0).acquire("a", true));
        assertFalse(ids(1).acquire("a", true));
        runningProcesses.remove(0);
        assertTrue(ids(1).acquire("a", true));
        assertFalse(ids(0).acquire("a", true), "the successor of the ended process");
    }

    @Test
    void clearedMemoryHoldsNoIds() throws IOException {
        assertTrue(ids(0).acquire("a", false));
        new SharedMemory(folder, 1).clear();
        assertTrue(ids(0).acquire("a", false));
    }

    /** More ids than a segment holds displace those of an ended process, and nothing else. */
    @Test
    void inheritedIdsGiveWayToNewOnes() throws IOException {
        SharedQueryIds ended = ids(0);
        int count = SharedQueryIds.MAX_IDS;
        for (int i = 0; i < count; i++) {
            assertTrue(ended.acquire("old" + i, false));
        }
        SharedQueryIds successor = ids(0);
        SharedQueryIds other = ids(1);
        assertTrue(successor.acquire("new", false));
        assertFalse(other.acquire("new", false));
        assertTrue(other.acquire("old0", false));
        assertFalse(other.acquire("old1", false));
    }

    @Test
    void twoProcessesDoNotBothAcquireAnIdAtTheSameTime() throws Exception {
        AtomicIntegerArray acquired = new AtomicIntegerArray(RACES);
        CyclicBarrier barrier = new CyclicBarrier(2);
        List<Thread> threads = new ArrayList<>();
        for (int process = 0; process < 2; process++) {
            SharedQueryIds ids = ids(process);
            Thread thread = new Thread(() -> acquireAll(ids, barrier, acquired));
            threads.add(thread);
            thread.start();
        }
        for (Thread thread : threads) {
            thread.join();
        }
        int once = 0;
        for (int i = 0; i < RACES; i++) {
            assertTrue(acquired.get(i) <= 1, "id " + i + " was acquired twice");
            once += acquired.get(i);
        }
        assertTrue(once > 0, "no id was acquired");
    }

    private static void acquireAll(
            SharedQueryIds ids, CyclicBarrier barrier, AtomicIntegerArray acquired) {
        try {
            for (int i = 0; i < RACES; i++) {
                barrier.await();
                if (ids.acquire("id" + i, false)) {
                    acquired.incrementAndGet(i);
                }
                barrier.await();
                ids.release("id" + i);
            }
        } catch (Exception e) {
            throw new AssertionError(e);
        }
    }

    @Test
    void cancelRequestsReachTheOtherProcessesOnce() throws IOException {
        SharedCancelRequests first = new SharedCancelRequests(new SharedMemory(folder, 0));
        SharedCancelRequests second = new SharedCancelRequests(new SharedMemory(folder, 1));
        first.send(5);
        first.send(-6);
        second.send(7);
        assertEquals(List.of(5L, -6L), receive(second));
        assertEquals(List.of(7L), receive(first));
        assertEquals(List.of(), receive(second));
        assertEquals(List.of(), receive(new SharedCancelRequests(new SharedMemory(folder, 2))));
    }

    /** A flood of requests costs the oldest ones, and neither memory nor the ids. */
    @Test
    void onlyTheNewestCancelRequestsAreKept() throws IOException {
        SharedQueryIds ids = ids(0);
        SharedCancelRequests first = new SharedCancelRequests(new SharedMemory(folder, 0));
        SharedCancelRequests second = new SharedCancelRequests(new SharedMemory(folder, 1));
        assertTrue(ids.acquire("a", false));
        int count = 100_000;
        for (int i = 0; i < count; i++) {
            first.send(i);
        }
        List<Long> received = receive(second);
        assertEquals(count - 1L, received.get(received.size() - 1));
        assertEquals(LongStream.range(count - received.size(), count).boxed().toList(), received);
        assertFalse(ids(1).acquire("a", false));
    }

    private static List<Long> receive(SharedCancelRequests requests) {
        List<Long> keys = new ArrayList<>();
        requests.receive(keys::add);
        return keys;
    }
}
