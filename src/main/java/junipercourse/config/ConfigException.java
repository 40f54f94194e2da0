package junipercourse.config;

/** Reports an invalid configuration; the message starts with the key concerned. */
public final class ConfigException extends IllegalArgumentException {
    private static final long serialVersionUID = 1L;

    public ConfigException(String key, String problem) {
        super(key + ": " + problem);
    }
}
