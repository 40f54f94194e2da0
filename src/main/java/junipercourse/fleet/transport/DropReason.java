package junipercourse.fleet.transport;

import java.util.Locale;

/**
 * Why a datagram was dropped. Each reason is counted and shown under its name; messages may be lost
 * by design.
 */
public enum DropReason {
    /** Received: more bytes than any dispatcher sends. */
    TOO_LONG,
    /** Received: the checksum is missing or does not match. */
    DAMAGED,
    /** Received: the checksum matches, but the content is malformed or out of bounds. */
    UNREADABLE,
    /** Received: from a fleet of another name. */
    OTHER_FLEET,
    /** Received: in a newer major version of the format. */
    NEWER_FORMAT,
    /** Received: over the rate limit of its address or the total one. */
    TOO_MANY,
    /** Received: the fleet thread has not consumed the earlier ones yet. */
    IN_RING_FULL,
    /** To be sent: the transport thread has not consumed the earlier ones yet. */
    OUT_RING_FULL,
    /** To be sent: over the rate limit of its address or the total one. */
    OVER_RATE,
    /** To be sent: larger than a datagram. */
    OVERSIZE,
    /** To be sent: the system refused it, or the address is malformed. */
    NOT_SENT;

    /** Returns the name in {@code SHOW FLEET}. */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
