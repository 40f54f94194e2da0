/**
 * Memory that the processes of one dispatcher share while one replaces the other: the ids of
 * queries that each holds, and cancel requests for sessions of the other.
 */
package junipercourse.handover;
