/**
 * Estimators of traffic, latency, engine speed and congestion, based on the requests and attempts
 * of this dispatcher. Depends on {@link junipercourse.decision.state}.
 */
package junipercourse.decision.estimation;
