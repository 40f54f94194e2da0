package junipercourse.multiprocess;

/**
 * Another build of the dispatcher, such as the previous release, for tests that run two builds
 * beside each other. Its jar is named by the system property {@code other.jar}.
 */
public final class OtherBuild {
    private static final String JAR_PROPERTY = "other.jar";
    private static final int DESCRIPTORS = 1024;

    private OtherBuild() {}

    /** Returns a shell command that runs the dispatcher of the other build in the shell's place. */
    public static String command() {
        String jar = System.getProperty(JAR_PROPERTY);
        if (jar == null) {
            throw new IllegalStateException(
                    "set -D" + JAR_PROPERTY + "=PATH to the jar of another build");
        }
        return "ulimit -n "
                + DESCRIPTORS
                + " && exec '"
                + System.getProperty("java.home")
                + "/bin/java' -XX:-UsePerfData -Xmx48m -XX:+UseSerialGC -cp '"
                + jar
                + "' junipercourse.cli.Main serve; ";
    }
}
