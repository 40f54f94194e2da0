package junipercourse.core;

/** A part of the program that only some installations have. Queries never wait for it. */
public interface OptionalComponent {
    /** Adds its tables. */
    void addTables(StatusTables statusTables);

    /** Called once clients can connect; returns at once. */
    void start();

    /**
     * Called after the last answer, before the process ends; waits for a part of a second at most.
     */
    void shutDown();
}
