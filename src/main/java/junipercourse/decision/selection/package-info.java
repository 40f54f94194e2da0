/**
 * Selects the engine for an attempt and launches it. Depends on {@link junipercourse.decision.load}
 * and {@link junipercourse.decision.health}.
 */
package junipercourse.decision.selection;
