/**
 * Checks the guarantees that every attempt must keep: deadline, idempotency, readiness, slow start,
 * ordering by key, placement and retry budget. Depends on {@link
 * junipercourse.decision.estimation}.
 */
package junipercourse.decision.constraints;
