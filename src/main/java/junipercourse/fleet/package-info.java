/**
 * The optional fleet component: a thread that runs the membership protocol of this dispatcher, and
 * the {@code SHOW FLEET} table. Its classes are loaded only if the product file configures a fleet.
 * Depends on {@link junipercourse.fleet.membership}, {@link junipercourse.fleet.transport}, {@link
 * junipercourse.core} and {@link junipercourse.liveness}.
 */
package junipercourse.fleet;
