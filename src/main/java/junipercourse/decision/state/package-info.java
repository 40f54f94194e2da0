/**
 * The state of the decision module: engines, requests, attempts and the statistics of each query
 * class. It contains no decisions. Depends on {@link junipercourse.decision.api} only.
 */
package junipercourse.decision.state;
