package junipercourse.config;

/** Configuration that cannot be used; the message begins with the key at fault. */
public final class ConfigException extends IllegalArgumentException {
    private static final long serialVersionUID = 1L;

    public ConfigException(String key, String problem) {
        super(key + ": " + problem);
    }
}
