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

/** Parses the query fields in the comment before a statement. */
final class QueryFieldParser {
    /** Keeps the statement's bytes in any encoding. Everything that is parsed here is ASCII. */
    private static final Charset BYTE_PRESERVING = StandardCharsets.ISO_8859_1;

    /** Fields of one statement, known or not. */
    private static final int MAX_FIELDS = 64;

    private static final long NO_ORDER_KEY = 0;
    private static final double TIMEOUT_ROUNDING_FACTOR = 1.02; // clients round their timeouts
    private static final double MAX_WORK_DEADLINES =
            100; // deadlines of work; more is not a plausible estimate
    private static final double MAX_MEMORY_MULTIPLE =
            16; // times the memory of the largest engine, likewise

    private final List<QueryClass> classes;
    private final Map<String, Integer> classIndexes = new HashMap<>();
    private final Map<String, Integer> tenantIndexes = new HashMap<>();
    private final double maxMemoryMb;

    QueryFieldParser(DecisionSettings settings) {
        classes = settings.queryClasses();
        double largestMemoryMb =
                settings.engineKinds().stream().mapToDouble(EngineKind::memoryMb).max().orElse(0);
        maxMemoryMb =
                largestMemoryMb > 0
                        ? largestMemoryMb * MAX_MEMORY_MULTIPLE
                        : Double.POSITIVE_INFINITY;
        for (int i = 0; i < classes.size(); i++) {
            classIndexes.put(classes.get(i).name(), i);
        }
        for (int i = 0; i < settings.tenants().size(); i++) {
            tenantIndexes.put(settings.tenants().get(i).name(), i);
        }
    }

    /** Decodes the first bytes of a message so that {@link #parse} keeps them, in any encoding. */
    static String toText(byte[] bytes, int length) {
        return new String(bytes, 0, length, BYTE_PRESERVING);
    }

    /**
     * Parses a query.
     *
     * @param text as decoded by {@link #toText}
     * @param arrival the arrival of the last byte
     */
    Query parse(String text, ArrivalInterval arrival) throws InvalidQueryFieldException {
        int commentStart = 0;
        while (commentStart < text.length() && Character.isWhitespace(text.charAt(commentStart))) {
            commentStart++;
        }
        if (!text.startsWith("/*", commentStart)) {
            throw new InvalidQueryFieldException(
                    "kind", "missing; no comment with fields stands before the statement");
        }
        int commentEnd = CommentScanner.endOfComment(text, commentStart);
        if (!text.startsWith("*/", commentEnd - 2) || commentEnd - 4 < commentStart) {
            throw new InvalidQueryFieldException(
                    "kind", "missing; the comment with the fields stays open");
        }
        Map<String, String> fields = parseFields(text.substring(commentStart + 2, commentEnd - 2));
        int statementStart = commentEnd;
        while (statementStart < text.length()
                && Character.isWhitespace(text.charAt(statementStart))) {
            statementStart++;
        }
        return buildQuery(fields, text.substring(statementStart), arrival);
    }

    private static Map<String, String> parseFields(String comment)
            throws InvalidQueryFieldException {
        Map<String, String> fields = new HashMap<>();
        int start = 0;
        for (int count = 0; start <= comment.length(); count++) {
            if (count == MAX_FIELDS) {
                throw new InvalidQueryFieldException(
                        "kind", "not looked for; there are more than " + MAX_FIELDS + " fields");
            }
            int comma = comment.indexOf(',', start);
            int end = comma < 0 ? comment.length() : comma;
            addField(fields, comment.substring(start, end));
            start = end + 1;
        }
        return fields;
    }

    private static void addField(Map<String, String> fields, String assignment)
            throws InvalidQueryFieldException {
        int equalsIndex = assignment.indexOf('=');
        if (equalsIndex < 0) {
            return;
        }
        String name = assignment.substring(0, equalsIndex).trim();
        if (fields.put(name, assignment.substring(equalsIndex + 1).trim()) != null) {
            throw new InvalidQueryFieldException(name, "given twice");
        }
    }

    private Query buildQuery(Map<String, String> fields, String statement, ArrivalInterval arrival)
            throws InvalidQueryFieldException {
        String className = requireField(fields, "kind");
        Integer classIndex = classIndexes.get(className);
        if (classIndex == null) {
            throw new InvalidQueryFieldException("kind", "unknown class " + quote(className));
        }
        QueryClass queryClass = classes.get(classIndex);
        String id = requireField(fields, "req");
        parseHex("req", id, 16);
        double timeoutMillis = parseNumber("timeout", requireField(fields, "timeout"));
        // Rejects implausible values, which would distort the averages of the decision module.
        requireInRange(
                "timeout",
                timeoutMillis,
                1,
                queryClass.deadlineSeconds() * 1000 * TIMEOUT_ROUNDING_FACTOR,
                fields);
        String idempotencyKey =
                queryClass.idempotency() == Idempotency.IDEMPOTENT_WITH_KEY
                        ? requireField(fields, "opkey")
                        : fields.get("opkey");
        if (idempotencyKey != null && !idempotencyKey.matches("[0-9A-Za-z_.-]{1,128}")) {
            throw new InvalidQueryFieldException("opkey", "not a key: " + quote(idempotencyKey));
        }
        String workText = fields.get("ms");
        String memoryText = fields.get("ram");
        String resent = fields.getOrDefault("resent", "0");
        if (!resent.equals("0") && !resent.equals("1")) {
            throw new InvalidQueryFieldException("resent", "neither 0 nor 1: " + quote(resent));
        }
        double workMillis = workText == null ? Double.NaN : parseNumber("ms", workText);
        double memoryMb = memoryText == null ? 0 : parseNumber("ram", memoryText);
        requireInRange(
                "ms",
                workMillis,
                0,
                queryClass.deadlineSeconds() * 1000 * MAX_WORK_DEADLINES,
                fields);
        requireInRange("ram", memoryMb, 0, maxMemoryMb, fields);
        if (statement.isBlank()) {
            throw new InvalidQueryFieldException("statement", "missing");
        }
        return new Query(
                id,
                className,
                classIndex,
                tenantIndex(fields),
                arrival.clientWaitStart() + timeoutMillis / 1000,
                idempotencyKey,
                parseOrderKey(fields, queryClass),
                TableGroupExtractor.extractGroup(statement),
                workMillis / 1000,
                memoryMb,
                resent.equals("1"),
                statement.getBytes(BYTE_PRESERVING),
                arrival);
    }

    private static void requireInRange(
            String name, double value, double min, double max, Map<String, String> fields)
            throws InvalidQueryFieldException {
        if (value < min || value > max) {
            throw new InvalidQueryFieldException(name, "out of range: " + quote(fields.get(name)));
        }
    }

    /** Without its key, a query of an ordered class would run beside others of the same key. */
    private static long parseOrderKey(Map<String, String> fields, QueryClass queryClass)
            throws InvalidQueryFieldException {
        String text =
                queryClass.orderedByKey() ? requireField(fields, "subject") : fields.get("subject");
        long key = text == null ? NO_ORDER_KEY : parseHex("subject", text, 16);
        if (queryClass.orderedByKey() && key == NO_ORDER_KEY) {
            throw new InvalidQueryFieldException("subject", "not a key: " + quote(text));
        }
        return key;
    }

    private int tenantIndex(Map<String, String> fields) throws InvalidQueryFieldException {
        if (tenantIndexes.isEmpty()) {
            return -1;
        }
        String tenantName = requireField(fields, "owner");
        Integer index = tenantIndexes.get(tenantName);
        if (index == null) {
            throw new InvalidQueryFieldException("owner", "unknown tenant " + quote(tenantName));
        }
        return index;
    }

    private static String requireField(Map<String, String> fields, String name)
            throws InvalidQueryFieldException {
        String value = fields.get(name);
        if (value == null || value.isEmpty()) {
            throw new InvalidQueryFieldException(name, "missing");
        }
        return value;
    }

    private static long parseHex(String name, String text, int digits)
            throws InvalidQueryFieldException {
        if (text.length() != digits || !text.matches("[0-9a-fA-F]+")) {
            throw new InvalidQueryFieldException(
                    name, "not " + digits + " hexadecimal digits: " + quote(text));
        }
        return Long.parseUnsignedLong(text, 16);
    }

    private static double parseNumber(String name, String text) throws InvalidQueryFieldException {
        if (!text.matches("[0-9]{1,15}(\\.[0-9]{1,15})?([eE][+-]?[0-9]{1,2})?")) {
            throw new InvalidQueryFieldException(name, "not a number: " + quote(text));
        }
        return Double.parseDouble(text);
    }

    /** Quotes a value and shortens it for an error message. */
    private static String quote(String text) {
        return "'" + (text.length() > 40 ? text.substring(0, 40) + "…" : text) + "'";
    }
}
