package junipercourse.decision.api;

/** Describes how load reports reach a dispatcher. */
public enum LoadReportChannel {
    /** With the response of each attempt. */
    INLINE,
    /** With the response to a load probe. */
    ON_PROBE,
    /** Engines send no load reports. */
    OFF
}
