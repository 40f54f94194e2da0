package junipercourse.admin;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.concurrent.locks.LockSupport;
import java.util.function.IntUnaryOperator;
import org.tinylog.Logger;

/**
 * The processes of one dispatcher that run at a time, while one replaces the other: each holds the
 * lock of a numbered file in the folder that they share, and writes there how many descriptors it
 * claims. The system gives a lock back however its process ends: nobody is counted who is gone, and
 * no pid is ever trusted.
 */
public final class SiblingProcesses implements Closeable {
    /**
     * More processes of one dispatcher are never started: the next one finds no number and ends.
     */
    private static final int MAX_PROCESSES = 8;

    private static final int LOCK_ATTEMPTS = 20;
    private static final long LOCK_RETRY_NANOS = 10_000_000;
    private final Path folder;
    private final FileChannel processFile;
    private final FileLock processLock;
    private final int processNumber;

    /**
     * @throws IOException if the folder cannot be used, or all numbers are taken
     */
    public SiblingProcesses(Path folder) throws IOException {
        this.folder = Files.createDirectories(folder);
        for (int i = 0; i < MAX_PROCESSES; i++) {
            FileChannel file = open(fileName(i));
            FileLock ownLock = file.tryLock();
            if (ownLock != null) {
                processFile = file;
                processLock = ownLock;
                processNumber = i;
                return;
            }
            file.close();
        }
        throw new IOException(folder + ": " + MAX_PROCESSES + " processes run already");
    }

    private static String fileName(int processNumber) {
        return "process-" + processNumber;
    }

    private FileChannel open(String fileName) throws IOException {
        return FileChannel.open(
                folder.resolve(fileName),
                StandardOpenOption.CREATE,
                StandardOpenOption.READ,
                StandardOpenOption.WRITE);
    }

    /**
     * Makes a claim beside those of the others, one process at a time.
     *
     * @param claim what to claim, given what all others claim together, or -1 if there is no other
     * @return what all others claim together; -1 if there is no other
     * @throws IOException if the files cannot be used: then nothing is claimed anew
     */
    public int claim(IntUnaryOperator computeClaim) throws IOException {
        try (FileChannel lockFile = open("turn");
                FileLock claimLock = acquireLock(lockFile)) {
            int othersClaim = -1;
            for (int i = 0; i < MAX_PROCESSES; i++) {
                if (i != processNumber && Files.exists(folder.resolve(fileName(i)))) {
                    othersClaim = addClaim(othersClaim, i);
                }
            }
            int ownClaim = computeClaim.applyAsInt(othersClaim);
            processFile.write(ByteBuffer.allocate(Integer.BYTES).putInt(0, ownClaim), 0);
            return claimLock.isValid() ? othersClaim : -1;
        }
    }

    /**
     * Guards against one that was stopped in the middle of its turn: nobody waits for it for long.
     */
    private static FileLock acquireLock(FileChannel file) throws IOException {
        for (int i = 0; i < LOCK_ATTEMPTS; i++) {
            FileLock acquired = file.tryLock();
            if (acquired != null) {
                return acquired;
            }
            LockSupport.parkNanos(LOCK_RETRY_NANOS);
        }
        throw new IOException("another process has had its turn for too long");
    }

    private int addClaim(int sum, int processNumber) throws IOException {
        try (FileChannel file = open(fileName(processNumber));
                FileLock acquiredLock = file.tryLock()) {
            if (acquiredLock != null) { // nobody holds it: its process has ended
                return sum;
            }
            ByteBuffer claim = ByteBuffer.allocate(Integer.BYTES);
            int bytesRead = file.read(claim, 0);
            return Math.max(0, sum)
                    + (bytesRead == Integer.BYTES ? Math.max(0, claim.getInt(0)) : 0);
        }
    }

    @Override
    public void close() {
        try {
            processLock.release();
            processFile.close();
        } catch (IOException e) {
            Logger.debug("the lock of this process: {}", e.getMessage());
        }
    }
}
