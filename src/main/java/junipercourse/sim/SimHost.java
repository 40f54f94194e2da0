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

/** Runs instances of the decision module for the simulator, over its wire protocol. */
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

    /** Processes batches until the input ends. Returns the exit code. */
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
        byte[] header = input.readNBytes(4);
        if (header.length == 0) {
            return null;
        }
        if (header.length < 4) {
            throw new WireException("input ends inside a frame's length");
        }
        long length = ByteBuffer.wrap(header).order(ByteOrder.LITTLE_ENDIAN).getInt() & 0xffffffffL;
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

    private void processBatch(WireReader in, ByteArrayOutputStream replyFrame) {
        double now = in.f64();
        long recordCount = in.u32();
        long batch = in.u32();
        reply.begin();
        changedInstances.clear();
        targetInstance = -1;
        try {
            for (long i = 0; i < recordCount; i++) {
                handleRecord(in, now, batch);
            }
            if (in.remaining() > 0) {
                throw new WireException(
                        "batch " + batch + ": " + in.remaining() + " bytes after the last record");
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

    private void handleRecord(WireReader in, double now, long batch) {
        int pos = in.position();
        int code = in.u16();
        switch (code) {
            case Wire.TARGET_INSTANCE -> {
                targetInstance = in.u32();
                reply.selectInstance(targetInstance);
            }
            case Wire.LEDGER -> endpointLists.put((int) in.u32(), in.endpointList());
            case Wire.CREATE -> createInstance(in);
            case Wire.CRASH_NOW -> {
                requireInstance(code, pos, batch);
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
                    handleEvent(code, in, now, requireInstance(code, pos, batch));
            default ->
                    throw new WireException(
                            "batch " + batch + ": unknown record code " + code + " at byte " + pos);
        }
    }

    private void createInstance(WireReader in) {
        if (targetInstance < 0) {
            throw new WireException("Create before any TargetInstance at byte " + in.position());
        }
        long seed = in.u64();
        String text = new String(in.bytes(), StandardCharsets.UTF_8);
        markChanged();
        instances.put(targetInstance, new TagsDispatcher(SettingsReader.read(text), seed, reply));
    }

    private TagsDispatcher requireInstance(int code, int pos, long batch) {
        TagsDispatcher dispatcher = instances.get(targetInstance);
        if (dispatcher == null) {
            throw new WireException(
                    "batch "
                            + batch
                            + ": record "
                            + code
                            + " at byte "
                            + pos
                            + " for unknown instance "
                            + targetInstance);
        }
        markChanged();
        return dispatcher;
    }

    private void markChanged() {
        changedInstances.add(targetInstance);
    }

    private void handleEvent(int code, WireReader in, double now, TagsDispatcher dispatcher) {
        switch (code) {
            case Wire.FIRED -> dispatcher.timerFired(now, in.u32());
            case Wire.FIRST_BYTE -> {
                RequestId id = new RequestId(in.u64());
                int attempt = in.u8();
                EngineId engine = new EngineId(in.u32());
                in.f64();
                dispatcher.responseStarted(now, id, attempt, engine);
            }
            case Wire.INGRESS -> dispatcher.requestReceived(now, readRequest(in));
            case Wire.PROBE_DONE -> {
                AttemptOutcome outcome = Wire.outcome(in.u16());
                double seconds = in.f64();
                dispatcher.probeCompleted(
                        now, new EngineId(in.u32()), outcome, seconds, in.loadReport());
            }
            case Wire.ATTEMPT_END -> dispatcher.attemptEnded(now, readAttemptResult(in));
            case Wire.PEER_DATA ->
                    dispatcher.peerMessageReceived(now, (int) in.u32(), in.shortBytes());
            case Wire.ROSTER_CHANGE -> handleEndpointUpdate(in, now, dispatcher);
            case Wire.NOTICE -> handleProgress(in, now, dispatcher);
            case Wire.ABANDONED -> dispatcher.requestAbandoned(now, new RequestId(in.u64()));
            default -> throw new IllegalStateException("record " + code);
        }
    }

    private static QueryRequest readRequest(WireReader in) {
        RequestId id = new RequestId(in.u64());
        int flags = in.u8();
        int tenant = (int) in.u32();
        float group = in.f32();
        double deadlineAt = in.f64();
        long key = in.u64();
        int queryClass = in.u16();
        double memoryMb = in.f32();
        double costSeconds = in.f64();
        return new QueryRequest(
                id,
                queryClass,
                tenant,
                deadlineAt,
                key,
                group,
                (flags & 1) != 0 ? costSeconds : Double.NaN,
                memoryMb,
                (flags & 2) != 0);
    }

    private static AttemptResult readAttemptResult(WireReader in) {
        RequestId id = new RequestId(in.u64());
        int attempt = in.u8();
        EngineId engine = new EngineId(in.u32());
        AttemptOutcome outcome = Wire.outcome(in.u16());
        double seconds = in.f64();
        boolean requestCompleted = in.flag();
        long note = in.u32();
        return new AttemptResult(
                id,
                attempt,
                engine,
                outcome,
                seconds,
                requestCompleted,
                Wire.costSeconds(note),
                Wire.memoryMb(note),
                in.loadReport());
    }

    private void handleEndpointUpdate(WireReader in, double now, TagsDispatcher dispatcher) {
        int mode = in.u8();
        in.u32();
        int listId = (int) in.u32();
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

    private static void handleProgress(WireReader in, double now, TagsDispatcher dispatcher) {
        RequestId id = new RequestId(in.u64());
        int attempt = in.u8();
        in.u32();
        int kind = in.u8();
        double value = in.f32();
        if (kind >= 1 && kind <= 3) {
            dispatcher.attemptProgressed(now, id, attempt, ProgressKind.values()[kind - 1], value);
        }
    }
}
