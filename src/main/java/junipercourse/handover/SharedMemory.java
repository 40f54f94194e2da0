package junipercourse.handover;

import java.io.IOException;
import java.lang.invoke.VarHandle;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.LongBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import junipercourse.admin.SiblingProcesses;

/**
 * A file that all processes of one dispatcher map into memory, with one segment of 64-bit words for
 * each process number. Only the process that holds a number writes to its segment; all read it.
 * Reading and writing never wait for another process. A segment outlives its process.
 */
public final class SharedMemory {
    /** Another layout needs another name: two builds may run during a replacement. */
    public static final String FILE_NAME = "queries-1";

    private static final int SEGMENTS = SiblingProcesses.MAX_PROCESSES;

    private static final int SEGMENT_WORDS = 16_384;
    private static final int FILE_BYTES = SEGMENTS * SEGMENT_WORDS * Long.BYTES;

    private final LongBuffer words;
    private final int processNumber;

    /**
     * Maps the file, creating it if necessary.
     *
     * @param processNumber the number that this process alone holds
     * @throws IOException if the file cannot be created or mapped
     */
    public SharedMemory(Path folder, int processNumber) throws IOException {
        this.processNumber = processNumber;
        Files.createDirectories(folder);
        try (FileChannel file =
                FileChannel.open(
                        folder.resolve(FILE_NAME),
                        StandardOpenOption.CREATE,
                        StandardOpenOption.READ,
                        StandardOpenOption.WRITE)) {
            allocate(file);
            words =
                    file.map(FileChannel.MapMode.READ_WRITE, 0, FILE_BYTES)
                            .load()
                            .order(ByteOrder.nativeOrder())
                            .asLongBuffer();
        }
    }

    /** Writes the missing bytes: a mapped hole of a full file system cannot be written to. */
    private static void allocate(FileChannel file) throws IOException {
        long size = file.size();
        if (size < FILE_BYTES) {
            file.write(ByteBuffer.allocate((int) (FILE_BYTES - size)), size);
        }
        if (file.size() < FILE_BYTES) {
            throw new IOException("no space for the memory that processes share");
        }
    }

    /** Sets all words of all segments to 0. Only for a process that runs alone. */
    public void clear() {
        for (int i = 0; i < words.limit(); i++) {
            words.put(i, 0);
        }
        VarHandle.fullFence();
    }

    int processNumber() {
        return processNumber;
    }

    int segmentCount() {
        return SEGMENTS;
    }

    /** Returns the number of words in each segment. */
    int segmentWords() {
        return SEGMENT_WORDS;
    }

    long read(int segment, int word) {
        return words.get(segment * SEGMENT_WORDS + word);
    }

    /** Reads a word before all that is read afterwards. */
    long readFirst(int segment, int word) {
        long value = read(segment, word);
        VarHandle.loadLoadFence();
        return value;
    }

    /**
     * Writes a word of this process's segment. Other processes see it before all that this process
     * reads or writes afterwards.
     */
    void write(int word, long value) {
        words.put(processNumber * SEGMENT_WORDS + word, value);
        VarHandle.fullFence();
    }
}
