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
    private static final int MOST = 4096;

    private static final Pattern ID = Pattern.compile("s-[0-9a-f]{8}");
    private final Path folder;
    private final Set<String> strange = new HashSet<>();
    private Set<EngineId> last = Set.of();
    private String fault = "";

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
        return ID.matcher(id).matches()
                ? Optional.of(new EngineId(Long.parseLong(id.substring(2), 16)))
                : Optional.empty();
    }

    private Path file(EngineId id) {
        return folder.resolve(String.format("s-%08x", id.value()));
    }

    /**
     * @throws IOException if that cannot be kept: then nothing has changed
     */
    public synchronized void add(EngineId id) throws IOException {
        if (read().size() >= MOST) {
            throw new IOException("already " + MOST + " engines are out");
        }
        try {
            Files.createFile(file(id));
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
        Files.deleteIfExists(file(id));
    }

    /**
     * The engines that are out. If the folder cannot be read, those that were: what is out stays
     * out.
     */
    public synchronized Set<EngineId> read() {
        Set<EngineId> out = new HashSet<>();
        try (DirectoryStream<Path> files = Files.newDirectoryStream(folder)) {
            for (Path f : files) {
                String name = f.getFileName().toString();
                Optional<EngineId> id = parseEngineId(name);
                if (id.isPresent()) {
                    out.add(id.get());
                } else if (strange.size() < MOST && strange.add(name)) {
                    Logger.warn("{} holds {}, which names no engine", folder, name);
                }
            }
            last = Set.copyOf(out);
            fault = "";
        } catch (IOException | RuntimeException e) { // the stream's own failures come unchecked
            if (!fault.equals(e.toString())) { // it is read several times a second
                fault = e.toString();
                Logger.error(
                        "the engines taken out cannot be read, and stay as they were: {}", fault);
            }
        }
        return last;
    }
}
