/**
 * Estimates the load that other dispatchers place on each engine, from load reports and from gossip
 * between dispatchers, and probes engines whose reports are old. Depends on {@link
 * junipercourse.decision.constraints}.
 */
package junipercourse.decision.load;
