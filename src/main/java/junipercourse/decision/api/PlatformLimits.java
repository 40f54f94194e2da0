package junipercourse.decision.api;

/**
 * Defines which mechanisms the platform allows.
 *
 * @param cancellationAllowed whether attempts can be cancelled
 * @param probesAllowed whether load probes can be sent to engines
 * @param gossipAllowed whether dispatchers can send messages to each other
 * @param hedgingAllowed whether a request may have two attempts in flight
 * @param retryAfterAllowed whether a rejection can contain a Retry-After delay
 * @param maxRetryAfterSeconds longest Retry-After delay
 * @param maxAttempts maximum number of attempts of a request; 0 for no limit
 * @param connectTimeoutSeconds time after which a connection attempt fails
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
