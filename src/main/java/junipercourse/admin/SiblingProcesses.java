package junipercourse.admin;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.concurrent.locks.LockSupport;
import java.util.function.IntUnaryOperator;
import org.tinylog.Logger;

/**
 * Shares the descriptor limit among the processes of one dispatcher that run at the same time
 * during a handover. Each process locks a numbered claim file in a shared folder and writes there
 * how many descriptors it claims. The operating system releases a lock however its process ends, so
 * an ended process is never counted, and no process ID has to be trusted.
 */
public final class SiblingProcesses implements Closeable {
    /** Limit of processes of one dispatcher: a further one finds no free number and exits. */
    public static final int MAX_PROCESSES = 8;

    private static final int LOCK_ATTEMPTS = 20;
    private static final long LOCK_RETRY_NANOS = 10_000_000;
    private final Path folder;
    private final FileChannel processFile;
    private final FileLock processLock;
    private final int processNumber;
    private boolean isStopped;

    /** Reports a claim after {@link #stopClaims}: nothing was read or written. */
    public static final class ClaimsStoppedException extends IOException {
        private static final long serialVersionUID = 1L;

        ClaimsStoppedException() {
            super("no claim is made while the process exits");
        }
    }

    /**
     * @throws IOException if the folder cannot be used or all numbers are in use
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
        throw new IOException(
                folder + ": " + MAX_PROCESSES + " processes are already running, the maximum");
    }

    /** Returns the number that this process alone holds. */
    public int processNumber() {
        return processNumber;
    }

    /**
     * Whether the process with another number runs. Does not wait, and returns true if it cannot be
     * told. The system frees the lock of a process before its clients notice its end.
     */
    public boolean isRunning(int otherNumber) {
        try (FileChannel file =
                        FileChannel.open(
                                folder.resolve(fileName(otherNumber)),
                                StandardOpenOption.READ,
                                StandardOpenOption.WRITE);
                FileLock acquiredLock = file.tryLock()) {
            return acquiredLock == null;
        } catch (NoSuchFileException e) {
            return false;
        } catch (IOException | OverlappingFileLockException e) { // a claim reads the file now
            Logger.debug("cannot tell whether process {} runs: {}", otherNumber, e.toString());
            return true;
        }
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
     * Sets this process's claim. A lock admits one process at a time.
     *
     * @param computeClaim computes the claim from the sum of the other processes' claims, or from
     *     -1 if there is no other process
     * @return the sum of the other processes' claims; -1 if there is no other process
     * @throws ClaimsStoppedException after {@link #stopClaims}
     * @throws IOException if the files cannot be used; the claim has not changed then
     */
    public synchronized int claim(IntUnaryOperator computeClaim) throws IOException {
        if (isStopped) {
            throw new ClaimsStoppedException();
        }
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
     * Ends all claims: waits for a running one, and allows no other. A process that exits while it
     * holds the lock for claims would keep it until the system has removed the process, and its
     * siblings would wait for that long. The last claim stands until the process has ended.
     */
    public synchronized void stopClaims() {
        isStopped = true;
    }

    /** Waits a limited time for the lock: its holder may have been suspended while holding it. */
    private static FileLock acquireLock(FileChannel file) throws IOException {
        for (int i = 0; i < LOCK_ATTEMPTS; i++) {
            FileLock acquired = file.tryLock();
            if (acquired != null) {
                return acquired;
            }
            LockSupport.parkNanos(LOCK_RETRY_NANOS);
        }
        throw new IOException("another process has held the lock for claims for too long");
    }

    private int addClaim(int sum, int claimNumber) throws IOException {
        try (FileChannel file = open(fileName(claimNumber));
                FileLock acquiredLock = file.tryLock()) {
            if (acquiredLock != null) { // no process holds the lock: the owner has ended
                return sum;
            }
            return Math.max(0, sum) + readClaim(file, claimNumber);
        }
    }

    /**
     * Reads the claim of a running process; 0 if it has not claimed anything yet.
     *
     * @throws IOException if the claim is unreadable: the process may claim any number then
     */
    private int readClaim(FileChannel file, int claimNumber) throws IOException {
        ByteBuffer bytes = ByteBuffer.allocate(Integer.BYTES + 1); // one more, to see a longer file
        int bytesRead = file.read(bytes, 0);
        if (bytesRead < 0) {
            return 0;
        }
        if (bytesRead != Integer.BYTES || bytes.getInt(0) < 0) {
            throw new IOException(folder.resolve(fileName(claimNumber)) + ": unreadable claim");
        }
        return bytes.getInt(0);
    }

    @Override
    public void close() {
        try {
            processLock.release();
            processFile.close();
        } catch (IOException e) {
            Logger.debug("cannot release the lock of this process: {}", e.getMessage());
        }
    }
}
