/**
 * Outlier detection: ejects engines that hang, fail or cannot be reached, and reinstates them after
 * a successful probation. Depends on {@link junipercourse.decision.estimation}.
 */
package junipercourse.decision.health;
