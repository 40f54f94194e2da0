package junipercourse.cli;

import javax.management.MBeanServer;
import javax.management.MBeanServerBuilder;
import javax.management.MBeanServerDelegate;

/**
 * Prevents the JVM's management beans from being built, which costs a start 0.1 s of a core: XNIO
 * registers each worker there, and works without. Metrics are in {@code SHOW}.
 */
public final class JmxSuppression extends MBeanServerBuilder {
    /** The JDK's properties for the builder of the bean server and for remote access to it. */
    private static final String BUILDER_PROPERTY = "javax.management.builder.initial";

    private static final String JMX_REMOTE_PROPERTY = "com.sun.management.jmxremote";

    /** Disables the bean server unless the command line requests one. */
    static void install() {
        if (System.getProperty(BUILDER_PROPERTY) == null
                && System.getProperty(JMX_REMOTE_PROPERTY) == null) {
            System.setProperty(BUILDER_PROPERTY, JmxSuppression.class.getName());
        }
    }

    @Override
    public MBeanServerDelegate newMBeanServerDelegate() {
        throw new UnsupportedOperationException("this process has no management beans");
    }

    @Override
    public MBeanServer newMBeanServer(
            String domain, MBeanServer outer, MBeanServerDelegate delegate) {
        throw new UnsupportedOperationException("this process has no management beans");
    }
}
