package junipercourse.core;

/** A component that only some installations have. Queries never wait for it. */
public interface OptionalComponent {
    /** Adds its status tables. */
    void addTables(StatusTables statusTables);

    /** Called once clients can connect; returns at once. */
    void start();

    /** Called after the last answer, before the process exits. Waits for less than a second. */
    void shutDown();
}
