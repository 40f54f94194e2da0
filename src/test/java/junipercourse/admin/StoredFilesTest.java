package junipercourse.admin;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;
import junipercourse.decision.api.EngineId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Fixes the names and contents of files that processes of different versions share. */
class StoredFilesTest {
    @TempDir private Path folder;

    private List<String> listFileNames() throws IOException {
        try (Stream<Path> files = Files.list(folder)) {
            return files.map(file -> file.getFileName().toString()).sorted().toList();
        }
    }

    @Test
    void markerFileIsNamedByBusIdWhenAnEngineIsInMaintenance() throws IOException {
        MaintenanceMarkers markers = new MaintenanceMarkers(folder);
        markers.add(new EngineId(0xc41f7a));
        assertEquals(List.of("s-00c41f7a"), listFileNames());
        assertEquals(0, Files.size(folder.resolve("s-00c41f7a")));
        assertEquals(Set.of(new EngineId(0xc41f7a)), new MaintenanceMarkers(folder).read());
    }

    @Test
    void claimFileHoldsFourBytesWhenDescriptorsAreClaimed() throws IOException {
        try (SiblingProcesses processes = new SiblingProcesses(folder)) {
            assertEquals(-1, processes.claim(others -> 0x01020304));
            assertEquals(List.of("process-0", "turn"), listFileNames());
            assertArrayEquals(
                    new byte[] {1, 2, 3, 4}, Files.readAllBytes(folder.resolve("process-0")));
        }
    }
}
