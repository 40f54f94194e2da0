/**
 * Handles a request from arrival to completion: admission by priority, supervision of its attempts
 * (cutoff, restart, retry), the final answer, and the update of estimates from attempt results.
 * Depends on {@link junipercourse.decision.selection}.
 */
package junipercourse.decision.admission;
