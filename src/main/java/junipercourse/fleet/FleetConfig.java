package junipercourse.fleet;

import java.net.InetSocketAddress;
import java.util.List;
import junipercourse.fleet.membership.MembershipSettings;
import junipercourse.fleet.transport.RateLimits;

/**
 * The fleet section of the product file.
 *
 * @param name the fleet's name; messages of other fleets are dropped
 * @param listen address to bind
 * @param advertisedAddress {@code host:port} at which other members reach this one
 * @param zone the zone in which this process runs; may be empty
 * @param seeds addresses of the members to contact first; may include this process's own address
 * @param rateLimits limits of the transport
 * @param membership settings of the membership protocol
 */
public record FleetConfig(
        String name,
        InetSocketAddress listen,
        String advertisedAddress,
        String zone,
        List<String> seeds,
        RateLimits rateLimits,
        MembershipSettings membership) {}
