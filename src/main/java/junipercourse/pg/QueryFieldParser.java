package junipercourse.pg;

import java.nio.charset.Charset;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import junipercourse.core.Query;
import junipercourse.decision.api.DecisionSettings;
import junipercourse.decision.api.EngineKind;
import junipercourse.decision.api.Idempotency;
import junipercourse.decision.api.QueryClass;
import junipercourse.liveness.ArrivalInterval;

/** Reads a query's fields from the comment before its statement. */
final class QueryFieldParser {
    /**
     * The statement is passed on unchanged, whatever its encoding: all that is read here is ASCII.
     */
    private static final Charset BYTE_FOR_BYTE = StandardCharsets.ISO_8859_1;

    private static final double ROUNDING = 1.02; // clients round their times
    private static final double MOST_WORK =
            100; // deadlines of work in a query: beyond, it is no estimate
    private static final double MOST_MEMORY = 16; // engines' memory, likewise

    private final List<QueryClass> classes;
    private final Map<String, Integer> classAt = new HashMap<>();
    private final Map<String, Integer> tenantAt = new HashMap<>();
    private final double mostMemory;

    QueryFieldParser(DecisionSettings settings) {
        classes = settings.queryClasses();
        double largest =
                settings.engineKinds().stream().mapToDouble(EngineKind::memoryMb).max().orElse(0);
        mostMemory = largest > 0 ? largest * MOST_MEMORY : Double.POSITIVE_INFINITY;
        for (int i = 0; i < classes.size(); i++) {
            classAt.put(classes.get(i).name(), i);
        }
        for (int i = 0; i < settings.tenants().size(); i++) {
            tenantAt.put(settings.tenants().get(i).name(), i);
        }
    }

    /** Reads a query; {@code arrived} is when its last byte came. */
    Query read(byte[] sql, ArrivalInterval arrived) throws InvalidQueryFieldException {
        String text = new String(sql, BYTE_FOR_BYTE);
        int open = 0;
        while (open < text.length() && Character.isWhitespace(text.charAt(open))) {
            open++;
        }
        if (!text.startsWith("/*", open)) {
            throw new InvalidQueryFieldException(
                    "kind", "missing; no comment with fields stands before the statement");
        }
        int end = CommentScanner.end(text, open);
        if (!text.startsWith("*/", end - 2) || end - 4 < open) {
            throw new InvalidQueryFieldException(
                    "kind", "missing; the comment with the fields stays open");
        }
        Map<String, String> fields = fields(text.substring(open + 2, end - 2));
        int from = end;
        while (from < text.length() && Character.isWhitespace(text.charAt(from))) {
            from++;
        }
        return query(fields, text.substring(from), arrived);
    }

    private static Map<String, String> fields(String comment) throws InvalidQueryFieldException {
        Map<String, String> fields = new HashMap<>();
        for (String part : comment.split(",")) {
            int eq = part.indexOf('=');
            if (eq >= 0) {
                String name = part.substring(0, eq).trim();
                if (fields.put(name, part.substring(eq + 1).trim()) != null) {
                    throw new InvalidQueryFieldException(name, "given twice");
                }
            }
        }
        return fields;
    }

    private Query query(Map<String, String> fields, String statement, ArrivalInterval arrived)
            throws InvalidQueryFieldException {
        String kind = need(fields, "kind");
        Integer at = classAt.get(kind);
        if (at == null) {
            throw new InvalidQueryFieldException("kind", "unknown class " + quoted(kind));
        }
        QueryClass c = classes.get(at);
        String id = need(fields, "req");
        hex("req", id, 16);
        double timeout = number("timeout", need(fields, "timeout"));
        // Figures that cannot be meant are told rather than taken: they would mislead the module's
        // means.
        inRange("timeout", timeout, 1, c.deadlineSeconds() * 1000 * ROUNDING, fields);
        String dedupe =
                c.idempotency() == Idempotency.IDEMPOTENT_WITH_KEY
                        ? need(fields, "opkey")
                        : fields.get("opkey");
        if (dedupe != null && !dedupe.matches("[0-9A-Za-z_.-]{1,128}")) {
            throw new InvalidQueryFieldException("opkey", "not a key: " + quoted(dedupe));
        }
        String subject = fields.get("subject");
        String ms = fields.get("ms");
        String ram = fields.get("ram");
        String resent = fields.getOrDefault("resent", "0");
        if (!resent.equals("0") && !resent.equals("1")) {
            throw new InvalidQueryFieldException("resent", "neither 0 nor 1: " + quoted(resent));
        }
        double work = ms == null ? Double.NaN : number("ms", ms);
        double memory = ram == null ? 0 : number("ram", ram);
        inRange("ms", work, 0, c.deadlineSeconds() * 1000 * MOST_WORK, fields);
        inRange("ram", memory, 0, mostMemory, fields);
        if (statement.isBlank()) {
            throw new InvalidQueryFieldException("statement", "missing");
        }
        return new Query(
                id,
                kind,
                at,
                tenant(fields),
                arrived.clientWaitStart() + timeout / 1000,
                dedupe,
                subject == null ? 0 : hex("subject", subject, 16),
                TableGroupExtractor.of(statement),
                work / 1000,
                memory,
                resent.equals("1"),
                statement.getBytes(BYTE_FOR_BYTE),
                arrived);
    }

    private static void inRange(
            String name, double value, double least, double most, Map<String, String> fields)
            throws InvalidQueryFieldException {
        if (value < least || value > most) {
            throw new InvalidQueryFieldException(name, "out of range: " + quoted(fields.get(name)));
        }
    }

    private int tenant(Map<String, String> fields) throws InvalidQueryFieldException {
        if (tenantAt.isEmpty()) {
            return -1;
        }
        String owner = need(fields, "owner");
        Integer at = tenantAt.get(owner);
        if (at == null) {
            throw new InvalidQueryFieldException("owner", "unknown tenant " + quoted(owner));
        }
        return at;
    }

    private static String need(Map<String, String> fields, String name)
            throws InvalidQueryFieldException {
        String value = fields.get(name);
        if (value == null || value.isEmpty()) {
            throw new InvalidQueryFieldException(name, "missing");
        }
        return value;
    }

    private static long hex(String name, String text, int digits)
            throws InvalidQueryFieldException {
        if (text.length() != digits || !text.matches("[0-9a-fA-F]+")) {
            throw new InvalidQueryFieldException(
                    name, "not " + digits + " hexadecimal digits: " + quoted(text));
        }
        return Long.parseUnsignedLong(text, 16);
    }

    private static double number(String name, String text) throws InvalidQueryFieldException {
        if (!text.matches("[0-9]{1,15}(\\.[0-9]{1,15})?([eE][+-]?[0-9]{1,2})?")) {
            throw new InvalidQueryFieldException(name, "not a number: " + quoted(text));
        }
        return Double.parseDouble(text);
    }

    /** Short enough for a message, whatever the client sent. */
    private static String quoted(String text) {
        return "'" + (text.length() > 40 ? text.substring(0, 40) + "…" : text) + "'";
    }
}
