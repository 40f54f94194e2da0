package junipercourse.scale;

import com.sun.management.OperatingSystemMXBean;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/** Metrics of this machine, read from the operating system. */
final class HostMetrics {
    private static final double PAGES_PER_MB = 256;
    private static final int IDLE_FIELD =
            4; // field indices in the line of /proc/stat that sums up all processors
    private static final int IO_WAIT_FIELD = 5;

    private HostMetrics() {}

    /** CPU time of the whole machine since boot, in ticks. */
    record CpuTicks(long busy, long total) {
        /** The share of the time since the earlier reading that was busy. */
        double busyShareSince(CpuTicks earlier) {
            return total == earlier.total
                    ? 0
                    : (busy - earlier.busy) / (double) (total - earlier.total);
        }
    }

    static String describe() {
        OperatingSystemMXBean os =
                (OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean();
        return os.getAvailableProcessors() + " cores, " + (os.getTotalMemorySize() >> 30) + " GiB";
    }

    static CpuTicks readCpuTicks() throws IOException {
        String[] fields = Files.readAllLines(Path.of("/proc/stat")).get(0).trim().split(" +");
        long total = 0;
        for (int i = 1; i <= 8; i++) {
            total += Long.parseLong(fields[i]);
        }
        return new CpuTicks(
                total - Long.parseLong(fields[IDLE_FIELD]) - Long.parseLong(fields[IO_WAIT_FIELD]),
                total);
    }

    /** Number of datagrams dropped so far because a socket's receive buffer was full. */
    static long receiveBufferErrors() throws IOException {
        List<String> lines =
                Files.readAllLines(Path.of("/proc/net/snmp")).stream()
                        .filter(line -> line.startsWith("Udp:"))
                        .toList();
        List<String> names = List.of(lines.get(0).split(" "));
        return Long.parseLong(lines.get(1).split(" ")[names.indexOf("RcvbufErrors")]);
    }

    /** Number of such drops at the open sockets of the first {@code members} members. */
    static long receiveBufferErrors(int members) throws IOException {
        Set<String> addresses =
                IntStream.range(0, members)
                        .mapToObj(i -> Network.address(i).split("[.:]"))
                        .map(
                                addressParts ->
                                        "%02X%02X%02X%02X:%04X"
                                                .formatted(
                                                        Integer.valueOf(addressParts[3]),
                                                        Integer.valueOf(addressParts[2]),
                                                        Integer.valueOf(addressParts[1]),
                                                        Integer.valueOf(addressParts[0]),
                                                        Integer.valueOf(addressParts[4])))
                        .collect(
                                Collectors
                                        .toSet()); // the kernel's format on a little-endian machine
        return Files.readAllLines(Path.of("/proc/net/udp")).stream()
                .map(line -> line.trim().split(" +"))
                .filter(fields -> addresses.contains(fields[1]))
                .mapToLong(fields -> Long.parseLong(fields[fields.length - 1]))
                .sum();
    }

    /** Resident memory of this process, in MB. */
    static double residentMb() throws IOException {
        return Long.parseLong(Files.readString(Path.of("/proc/self/statm")).split(" ")[1])
                / PAGES_PER_MB;
    }
}
