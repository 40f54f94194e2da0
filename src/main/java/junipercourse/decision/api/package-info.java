/**
 * The interface of the decision module: the events that a dispatcher reports ({@link
 * junipercourse.decision.api.DecisionModule}), the actions that it executes for the module ({@link
 * junipercourse.decision.api.DispatcherActions}), and the types that both use. This package depends
 * on no other package of the project.
 */
package junipercourse.decision.api;
