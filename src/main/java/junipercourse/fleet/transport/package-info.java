/**
 * The UDP transport between dispatchers: encoding, rate limits, and a thread with bounded rings.
 * Depends on {@link junipercourse.fleet.membership} and, for addresses, on {@link
 * junipercourse.config}.
 */
package junipercourse.fleet.transport;
