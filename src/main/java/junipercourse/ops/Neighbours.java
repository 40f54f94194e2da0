package junipercourse.ops;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import org.tinylog.Logger;

/**
 * The processes of one dispatcher that run at a time, while one replaces the other: each holds the lock of a
 * numbered file in the folder that they share, and writes there how many descriptors it has. The system gives
 * a lock back however its process ends, so that nobody is counted who is gone, and no pid is ever trusted.
 */
public final class Neighbours implements Closeable {
    /** More processes of one dispatcher are never started: the next one finds no number and ends. */
    private static final int MOST = 8;
    private final Path folder;
    private final FileChannel mine;
    private final FileLock lock;
    private final int number;

    /** @throws IOException if the folder cannot be used, or all numbers are taken */
    public Neighbours(Path folder) throws IOException {
        this.folder = Files.createDirectories(folder);
        for (int i = 0; i < MOST; i++) {
            FileChannel file = open(i);
            FileLock taken = file.tryLock();
            if (taken != null) {
                mine = file;
                lock = taken;
                number = i;
                return;
            }
            file.close();
        }
        throw new IOException(folder + ": " + MOST + " processes run already");
    }

    private FileChannel open(int i) throws IOException {
        return FileChannel.open(folder.resolve("process-" + i), StandardOpenOption.CREATE,
                StandardOpenOption.READ, StandardOpenOption.WRITE);
    }

    /**
     * Tells the others what this process has, and asks what they have.
     *
     * @return the descriptors of all others; -1 if there is no other
     * @throws IOException if the files cannot be read: then nothing is known of others
     */
    public int look(int descriptors) throws IOException {
        mine.write(ByteBuffer.allocate(Integer.BYTES).putInt(0, descriptors), 0);
        int others = -1;
        for (int i = 0; i < MOST; i++) {
            if (i != number && Files.exists(folder.resolve("process-" + i))) {
                others = add(others, i);
            }
        }
        return others;
    }

    private int add(int sum, int i) throws IOException {
        try (FileChannel file = open(i); FileLock free = file.tryLock()) {
            if (free != null) { // nobody holds it: its process has ended
                return sum;
            }
            ByteBuffer told = ByteBuffer.allocate(Integer.BYTES);
            int n = file.read(told, 0);
            return Math.max(0, sum) + (n == Integer.BYTES ? Math.max(0, told.getInt(0)) : 0);
        }
    }

    @Override
    public void close() {
        try {
            lock.release();
            mine.close();
        } catch (IOException e) {
            Logger.debug("the lock of this process: {}", e.getMessage());
        }
    }
}
