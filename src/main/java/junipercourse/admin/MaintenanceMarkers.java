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
 * Stores which engines are in maintenance mode, as one empty marker file per engine in a folder of
 * {@code $TMPDIR}. A file marks its engine by its existence, whatever its content. Therefore a
 * marker cannot be half written or damaged, repeating a change has no effect, two sibling processes
 * never overwrite each other's changes, and markers survive the process, even if it is killed.
 */
public final class MaintenanceMarkers {
    /** More than an endpoint list holds; it keeps the folder from growing without bound. */
    private static final int MAX_MARKERS = 4096;

    private static final Pattern ENGINE_ID_PATTERN = Pattern.compile("s-[0-9a-f]{8}");
    private final Path folder;
    private final Set<String> reportedNames = new HashSet<>();
    private Set<EngineId> lastRead = Set.of();
    private String lastError = "";

    /**
     * @throws IOException if the folder does not exist and cannot be created
     */
    public MaintenanceMarkers(Path folder) throws IOException {
        this.folder = folder;
        Files.createDirectories(folder);
    }

    /**
     * Parses an engine ID in the notation of the event bus, such as {@code s-00c41f7a}; empty if
     * the text is not an engine ID.
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
     * Marks an engine as in maintenance mode.
     *
     * @throws IOException if the marker cannot be created; nothing has changed then
     */
    public synchronized void add(EngineId id) throws IOException {
        if (read().size() >= MAX_MARKERS) {
            throw new IOException(
                    MAX_MARKERS + " engines are already in maintenance mode, the maximum");
        }
        try {
            Files.createFile(markerPath(id));
        } catch (FileAlreadyExistsException e) {
            Logger.debug("engine {} is already in maintenance mode", id.value());
        }
    }

    /**
     * Removes the marker of an engine.
     *
     * @throws IOException if the marker cannot be deleted; nothing has changed then
     */
    public synchronized void remove(EngineId id) throws IOException {
        if (!Files.isDirectory(folder)) { // no marker exists, but engines stay in maintenance mode
            throw new IOException(folder + " does not exist");
        }
        Files.deleteIfExists(markerPath(id));
    }

    /**
     * Returns the engines in maintenance mode. If the folder cannot be read, returns the result of
     * the last successful read, so that engines stay in maintenance mode.
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
        } catch (IOException | RuntimeException e) { // the stream throws unchecked exceptions
            if (!lastError.equals(
                    e.toString())) { // log once: the folder is read several times a second
                lastError = e.toString();
                Logger.error(
                        "cannot read the maintenance markers, engines keep their mode: {}",
                        lastError);
            }
        }
        return lastRead;
    }
}
