package junipercourse.config;

import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/** Settings as text by path, with typed access. An unreadable value is an error with its key. */
final class SettingsValues {
    private final Map<String, String> valuesByPath;

    SettingsValues(Map<String, String> valuesByPath) {
        this.valuesByPath = valuesByPath;
    }

    /** Indexes of a list; empty if the key is absent, never an empty list. */
    Set<Integer> getIndexes(String key) {
        Set<Integer> indexes = new TreeSet<>();
        for (String item : getList(key)) {
            indexes.add(parseInteger(key, 0, item));
        }
        if (indexes.isEmpty() && valuesByPath.containsKey(key)) {
            throw new ConfigException("settings." + key, "empty; at least one index is required");
        }
        return indexes;
    }

    /** Items of a list; none if the key is absent. */
    List<String> getList(String key) {
        String value = valuesByPath.get(key);
        return value == null || value.isEmpty() ? List.of() : List.of(value.split(","));
    }

    String getString(String key, String fallback) {
        return valuesByPath.getOrDefault(key, fallback);
    }

    boolean getBoolean(String key, boolean fallback) {
        String value = valuesByPath.get(key);
        return value == null ? fallback : parseBoolean(key, value);
    }

    /** Parses a value of a key, such as one item of a list. */
    static boolean parseBoolean(String key, String value) {
        if (!value.equals("true") && !value.equals("false")) {
            throw new ConfigException("settings." + key, "not true or false: " + value);
        }
        return value.equals("true");
    }

    /** An integer of at least {@code minimum}; the fallback if the key is absent. */
    int getInteger(String key, int minimum, int fallback) {
        String value = valuesByPath.get(key);
        return value == null ? fallback : parseInteger(key, minimum, value);
    }

    double getNumber(String key, double fallback) {
        String value = valuesByPath.get(key);
        return value == null ? fallback : parse(key, value);
    }

    /** A number without a fallback. */
    double requireNumber(String key) {
        String value = valuesByPath.get(key);
        if (value == null) {
            throw new ConfigException("settings." + key, "missing");
        }
        return parse(key, value);
    }

    /** Parses a value of a key, such as one item of a list. */
    static double parse(String key, String value) {
        try {
            double number = Double.parseDouble(value);
            if (Double.isFinite(number)) {
                return number;
            }
        } catch (NumberFormatException e) {
            // reported below
        }
        throw new ConfigException("settings." + key, "not a number: " + value);
    }

    /** Parses an integer of a key, such as one item of a list. */
    static int parseInteger(String key, int minimum, String value) {
        double number = parse(key, value);
        if (number != Math.rint(number) || number < minimum || number > Integer.MAX_VALUE) {
            throw new ConfigException(
                    "settings." + key, "not an integer of at least " + minimum + ": " + value);
        }
        return (int) number;
    }

    /** A constant of an enum, named in any case; a null fallback makes the key mandatory. */
    <E extends Enum<E>> E getChoice(String key, Class<E> type, String fallback) {
        Map<String, E> byName = new HashMap<>();
        for (E constant : type.getEnumConstants()) {
            byName.put(constant.name().toLowerCase(Locale.ROOT), constant);
        }
        return getChoice(key, byName, fallback);
    }

    /** One of several named values; a null fallback makes the key mandatory. */
    <E> E getChoice(String key, Map<String, E> byName, String fallback) {
        String value = valuesByPath.getOrDefault(key, fallback);
        if (value == null) {
            throw new ConfigException("settings." + key, "missing");
        }
        E chosen = byName.get(value.toLowerCase(Locale.ROOT));
        if (chosen == null) {
            throw new ConfigException("settings." + key, "unknown " + value);
        }
        return chosen;
    }
}
