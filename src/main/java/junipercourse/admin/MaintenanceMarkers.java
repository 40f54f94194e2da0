package junipercourse.admin;

import java.io.IOException;
import java.nio.file.DirectoryStream;
import java.nio.file.FileAlreadyExistsException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Pattern;
import junipercourse.decision.api.EngineId;
import org.tinylog.Logger;

/**
 * The engines that the staff have taken out, one empty file each in a folder of {@code $TMPDIR}: a
 * file that is there says that its engine is out, whatever it holds. So no file can be half written
 * or damaged, an order given twice is one, two processes beside each other never overwrite each
 * other's orders, and all of it outlives a process, also one that is killed.
 */
public final class MaintenanceMarkers {
    /** More than a list of engines holds, so that the folder cannot grow for good. */
    private static final int MAX_MARKERS = 4096;

    private static final Pattern ENGINE_ID_PATTERN = Pattern.compile("s-[0-9a-f]{8}");
    private final Path folder;
    private final Set<String> reportedNames = new HashSet<>();
    private Set<EngineId> lastRead = Set.of();
    private String lastError = "";

    /**
     * @throws IOException if the folder is not there and cannot be made
     */
    public MaintenanceMarkers(Path folder) throws IOException {
        this.folder = folder;
        Files.createDirectories(folder);
    }

    /**
     * The engine of an id as the event bus writes it, such as {@code s-00c41f7a}; empty if it is
     * none.
     */
    public static Optional<EngineId> parseEngineId(String id) {
        return ENGINE_ID_PATTERN.matcher(id).matches()
                ? Optional.of(new EngineId(Long.parseLong(id.substring(2), 16)))
                : Optional.empty();
    }

    private Path markerPath(EngineId id) {
        return folder.resolve(String.format("s-%08x", id.value()));
    }

    /**
     * @throws IOException if that cannot be kept: then nothing has changed
     */
    public synchronized void add(EngineId id) throws IOException {
        if (read().size() >= MAX_MARKERS) {
            throw new IOException("already " + MAX_MARKERS + " engines are out");
        }
        try {
            Files.createFile(markerPath(id));
        } catch (FileAlreadyExistsException e) {
            Logger.debug("engine {} is out already", id.value());
        }
    }

    /**
     * @throws IOException if that cannot be kept: then nothing has changed
     */
    public synchronized void remove(EngineId id) throws IOException {
        if (!Files.isDirectory(folder)) { // no file is there, and yet what was out stays out
            throw new IOException(folder + " is not there");
        }
        Files.deleteIfExists(markerPath(id));
    }

    /**
     * The engines that are out. If the folder cannot be read, those that were: what is out stays
     * out.
     */
    public synchronized Set<EngineId> read() {
        Set<EngineId> engines = new HashSet<>();
        try (DirectoryStream<Path> files = Files.newDirectoryStream(folder)) {
            for (Path file : files) {
                String name = file.getFileName().toString();
                Optional<EngineId> id = parseEngineId(name);
                if (id.isPresent()) {
                    engines.add(id.get());
                } else if (reportedNames.size() < MAX_MARKERS && reportedNames.add(name)) {
                    Logger.warn("{} holds {}, which names no engine", folder, name);
                }
            }
            lastRead = Set.copyOf(engines);
            lastError = "";
        } catch (IOException | RuntimeException e) { // the stream's own failures come unchecked
            if (!lastError.equals(e.toString())) { // it is read several times a second
                lastError = e.toString();
                Logger.error(
                        "the engines taken out cannot be read, and stay as they were: {}",
                        lastError);
            }
        }
        return lastRead;
    }
}
