/**
 * The membership protocol of the fleet: SWIM with Lifeguard's local health and anti-entropy. It
 * performs no I/O, reads no clock and starts no threads: callers pass messages and times in, and
 * messages and snapshots go to a listener. {@link
 * junipercourse.fleet.membership.MembershipProtocol} owns all state. Depends on no other package of
 * the project.
 */
package junipercourse.fleet.membership;
