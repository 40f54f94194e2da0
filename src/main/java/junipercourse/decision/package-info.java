/**
 * The decision module: {@link junipercourse.decision.TagsDispatcher} receives events and decides
 * which engine runs each query and when, which attempts are retried, and which queries are
 * rejected. It uses neither sockets nor a clock: the caller passes in the time and executes the
 * decisions. It depends on no package outside of this one.
 */
package junipercourse.decision;
