package junipercourse.sim;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import junipercourse.config.SettingsReader;
import junipercourse.decision.TagsDispatcher;
import junipercourse.decision.api.AttemptOutcome;
import junipercourse.decision.api.AttemptResult;
import junipercourse.decision.api.EndpointUpdateKind;
import junipercourse.decision.api.EngineId;
import junipercourse.decision.api.EngineListing;
import junipercourse.decision.api.ProgressKind;
import junipercourse.decision.api.QueryRequest;
import junipercourse.decision.api.RequestId;
import junipercourse.sim.Wire.WireException;

/**
 * Hosts instances of the module on the simulator's wire: frames in, calls; calls back, frames out.
 */
public final class SimHost {
    private static final int HEADER_BYTES = 16;

    private final Map<Long, TagsDispatcher> instances = new HashMap<>();
    private final Map<Integer, List<EngineListing>> endpointLists = new HashMap<>();
    private final Set<Long> changedInstances = new LinkedHashSet<>();
    private final WireWriter reply = new WireWriter();
    private final PrintStream errors;
    private long targetInstance = -1;

    public SimHost(PrintStream errors) {
        this.errors = errors;
    }

    /** Answers batches until the input ends; returns the exit code. */
    public int run(InputStream input, OutputStream output) {
        try {
            ByteArrayOutputStream replyFrame = new ByteArrayOutputStream(4096);
            byte[] body = readFrame(input);
            while (body != null) {
                replyFrame.reset();
                processBatch(new WireReader(body), replyFrame);
                replyFrame.writeTo(output);
                output.flush();
                body = readFrame(input);
            }
            return 0;
        } catch (WireException | IOException e) {
            errors.println("simhost: " + e.getMessage());
            return 1;
        }
    }

    private static byte[] readFrame(InputStream input) throws IOException {
        byte[] lengthBytes = input.readNBytes(4);
        if (lengthBytes.length == 0) {
            return null;
        }
        if (lengthBytes.length < 4) {
            throw new WireException("input ends inside a frame's length");
        }
        long length =
                ByteBuffer.wrap(lengthBytes).order(ByteOrder.LITTLE_ENDIAN).getInt() & 0xffffffffL;
        if (length < HEADER_BYTES || length > Integer.MAX_VALUE - 16) {
            throw new WireException("frame length " + length + " is out of range");
        }
        byte[] body = input.readNBytes((int) length);
        if (body.length < length) {
            throw new WireException(
                    "input ends in mid-frame: " + body.length + " of " + length + " bytes");
        }
        return body;
    }

    private void processBatch(WireReader reader, ByteArrayOutputStream replyFrame) {
        double now = reader.f64();
        long recordCount = reader.u32();
        long batch = reader.u32();
        reply.begin();
        changedInstances.clear();
        targetInstance = -1;
        try {
            for (long i = 0; i < recordCount; i++) {
                handleRecord(reader, now, batch);
            }
            if (reader.remaining() > 0) {
                throw new WireException(
                        "batch "
                                + batch
                                + ": "
                                + reader.remaining()
                                + " bytes after the last record");
            }
            for (long id : changedInstances) {
                TagsDispatcher dispatcher = instances.get(id);
                if (dispatcher != null) {
                    reply.selectInstance(id);
                    dispatcher.decide(now);
                }
            }
        } catch (WireException e) {
            throw e;
        } catch (RuntimeException e) {
            e.printStackTrace(errors);
            reply.fault(e.toString());
        }
        reply.finish(batch, replyFrame);
    }

    private void handleRecord(WireReader reader, double now, long batch) {
        int offset = reader.position();
        int code = reader.u16();
        switch (code) {
            case Wire.TARGET_INSTANCE -> {
                targetInstance = reader.u32();
                reply.selectInstance(targetInstance);
            }
            case Wire.LEDGER -> endpointLists.put((int) reader.u32(), reader.endpointList());
            case Wire.CREATE -> createInstance(reader);
            case Wire.CRASH_NOW -> {
                requireInstance(code, offset, batch);
                instances.remove(targetInstance);
            }
            case Wire.FIRED,
                    Wire.FIRST_BYTE,
                    Wire.INGRESS,
                    Wire.PROBE_DONE,
                    Wire.ATTEMPT_END,
                    Wire.PEER_DATA,
                    Wire.ROSTER_CHANGE,
                    Wire.NOTICE,
                    Wire.ABANDONED ->
                    handleEvent(code, reader, now, requireInstance(code, offset, batch));
            default ->
                    throw new WireException(
                            "batch "
                                    + batch
                                    + ": unknown record code "
                                    + code
                                    + " at byte "
                                    + offset);
        }
    }

    private void createInstance(WireReader reader) {
        if (targetInstance < 0) {
            throw new WireException(
                    "Create before any TargetInstance at byte " + reader.position());
        }
        long seed = reader.u64();
        String settingsText = new String(reader.bytes(), StandardCharsets.UTF_8);
        markChanged();
        instances.put(
                targetInstance, new TagsDispatcher(SettingsReader.read(settingsText), seed, reply));
    }

    private TagsDispatcher requireInstance(int code, int offset, long batch) {
        TagsDispatcher dispatcher = instances.get(targetInstance);
        if (dispatcher == null) {
            throw new WireException(
                    "batch "
                            + batch
                            + ": record "
                            + code
                            + " at byte "
                            + offset
                            + " for unknown instance "
                            + targetInstance);
        }
        markChanged();
        return dispatcher;
    }

    private void markChanged() {
        changedInstances.add(targetInstance);
    }

    private void handleEvent(int code, WireReader reader, double now, TagsDispatcher dispatcher) {
        switch (code) {
            case Wire.FIRED -> dispatcher.timerFired(now, reader.u32());
            case Wire.FIRST_BYTE -> {
                RequestId id = new RequestId(reader.u64());
                int attempt = reader.u8();
                EngineId engine = new EngineId(reader.u32());
                reader.f64();
                dispatcher.responseStarted(now, id, attempt, engine);
            }
            case Wire.INGRESS -> dispatcher.requestReceived(now, readRequest(reader));
            case Wire.PROBE_DONE -> {
                AttemptOutcome outcome = Wire.outcome(reader.u16());
                double seconds = reader.f64();
                dispatcher.probeCompleted(
                        now, new EngineId(reader.u32()), outcome, seconds, reader.loadReport());
            }
            case Wire.ATTEMPT_END -> dispatcher.attemptEnded(now, readAttemptResult(reader));
            case Wire.PEER_DATA ->
                    dispatcher.peerMessageReceived(now, (int) reader.u32(), reader.shortBytes());
            case Wire.ROSTER_CHANGE -> handleEndpointUpdate(reader, now, dispatcher);
            case Wire.NOTICE -> handleProgress(reader, now, dispatcher);
            case Wire.ABANDONED -> dispatcher.requestAbandoned(now, new RequestId(reader.u64()));
            default -> throw new IllegalStateException("record " + code);
        }
    }

    private static QueryRequest readRequest(WireReader reader) {
        RequestId id = new RequestId(reader.u64());
        int flags = reader.u8();
        int tenant = (int) reader.u32();
        float group = reader.f32();
        double deadline = reader.f64();
        long key = reader.u64();
        int queryClass = reader.u16();
        double memoryMb = reader.f32();
        double costSeconds = reader.f64();
        return new QueryRequest(
                id,
                queryClass,
                tenant,
                deadline,
                key,
                group,
                (flags & 1) != 0 ? costSeconds : Double.NaN,
                memoryMb,
                (flags & 2) != 0);
    }

    private static AttemptResult readAttemptResult(WireReader reader) {
        RequestId id = new RequestId(reader.u64());
        int attempt = reader.u8();
        EngineId engine = new EngineId(reader.u32());
        AttemptOutcome outcome = Wire.outcome(reader.u16());
        double seconds = reader.f64();
        boolean requestCompleted = reader.flag();
        long note = reader.u32();
        return new AttemptResult(
                id,
                attempt,
                engine,
                outcome,
                seconds,
                requestCompleted,
                Wire.costSeconds(note),
                Wire.memoryMb(note),
                reader.loadReport());
    }

    private void handleEndpointUpdate(WireReader reader, double now, TagsDispatcher dispatcher) {
        int mode = reader.u8();
        reader.u32();
        int listId = (int) reader.u32();
        EndpointUpdateKind kind =
                switch (mode) {
                    case 0 -> EndpointUpdateKind.FULL;
                    case 1 -> EndpointUpdateKind.DELTA;
                    case 2 -> EndpointUpdateKind.CACHED;
                    case 4 -> EndpointUpdateKind.FAILED;
                    default -> throw new WireException("unknown roster mode " + mode);
                };
        List<EngineListing> entries =
                kind == EndpointUpdateKind.FAILED ? List.of() : endpointLists.get(listId);
        if (entries == null) {
            throw new WireException("roster change names unknown list " + listId);
        }
        dispatcher.endpointsChanged(now, kind, entries);
    }

    private static void handleProgress(WireReader reader, double now, TagsDispatcher dispatcher) {
        RequestId id = new RequestId(reader.u64());
        int attempt = reader.u8();
        reader.u32();
        int kind = reader.u8();
        double value = reader.f32();
        if (kind >= 1 && kind <= 3) {
            dispatcher.attemptProgressed(now, id, attempt, ProgressKind.values()[kind - 1], value);
        }
    }
}
