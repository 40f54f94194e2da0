package junipercourse.decision.api;

/**
 * States which mechanisms the platform allows. All times are in seconds.
 *
 * @param cancellationAllowed whether attempts can be cancelled
 * @param probesAllowed whether engines can be probed for their load
 * @param gossipAllowed whether dispatchers can send messages to each other
 * @param hedgingAllowed whether a request may have two attempts in flight
 * @param retryAfterAllowed whether a rejection can carry a retry delay
 * @param maxRetryAfter the longest such delay
 * @param maxAttempts the most attempts of a request; 0 for no limit
 * @param connectTimeout time after which a connection attempt fails
 */
public record PlatformLimits(
        boolean cancellationAllowed,
        boolean probesAllowed,
        boolean gossipAllowed,
        boolean hedgingAllowed,
        boolean retryAfterAllowed,
        double maxRetryAfterSeconds,
        int maxAttempts,
        double connectTimeoutSeconds) {}
