package junipercourse.cli;

import java.lang.reflect.InvocationHandler;
import java.lang.reflect.Proxy;
import org.tinylog.Logger;

/**
 * Runs a task on a signal of the operating system. The JVM's own API for this, {@code
 * sun.misc.Signal}, is in every JDK (module jdk.unsupported), but each use makes the compiler warn,
 * and warnings are errors here: so it is called by reflection.
 */
final class Signals {
    private Signals() {}

    /**
     * Runs the task on a JVM thread at each signal, in place of ending the process. A signal that
     * was ignored when the process started, as SIGHUP under {@code nohup}, stays ignored; that is
     * logged.
     */
    static void handle(String signal, Runnable task) {
        InvocationHandler handler =
                (proxy, method, args) -> {
                    if (method.getName().equals("handle")) {
                        task.run();
                        return null;
                    }
                    return method.getName().equals("equals")
                            ? (Object) (proxy == args[0])
                            : method.getName().equals("hashCode")
                                    ? (Object) System.identityHashCode(proxy)
                                    : signal;
                };
        try {
            Class<?> signalClass = Class.forName("sun.misc.Signal");
            Class<?> handlerClass = Class.forName("sun.misc.SignalHandler");
            Object proxy =
                    Proxy.newProxyInstance(
                            Signals.class.getClassLoader(), new Class<?>[] {handlerClass}, handler);
            Object previousHandler =
                    signalClass
                            .getMethod("handle", signalClass, handlerClass)
                            .invoke(
                                    null,
                                    signalClass.getConstructor(String.class).newInstance(signal),
                                    proxy);
            if (previousHandler == handlerClass.getField("SIG_IGN").get(null)) {
                Logger.warn(
                        "SIG{} was ignored when this process started and stays ignored (nohup?)",
                        signal);
            }
        } catch (ReflectiveOperationException e) {
            Logger.error(e, "signal {} cannot be handled on this JVM", signal);
        }
    }
}
