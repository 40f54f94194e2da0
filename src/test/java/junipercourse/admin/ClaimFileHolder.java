package junipercourse.admin;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/** A process that holds the lock of a claim file, as a sibling does, until its input ends. */
final class ClaimFileHolder {
    private ClaimFileHolder() {}

    /** Locks the file named by the only argument and writes one byte when the lock is held. */
    public static void main(String[] arguments) throws IOException {
        try (FileChannel file =
                        FileChannel.open(
                                Path.of(arguments[0]),
                                StandardOpenOption.READ,
                                StandardOpenOption.WRITE);
                FileLock lock = file.lock()) {
            System.out.write(lock.isValid() ? 1 : 0);
            System.out.flush();
            while (System.in.read() >= 0) {
                continue;
            }
        }
    }
}
